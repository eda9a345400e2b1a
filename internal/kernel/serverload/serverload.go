// Package serverload decodes the load that servers report about themselves, and tracks the parts of
// it that replace other knowledge while they are fresh: the slots and the current work factor.
package serverload

import (
	"strconv"
	"strings"
	"time"
)

const (
	// TTL is the age from which a report is ignored. Servers change their speed several times a
	// second.
	TTL = 500 * time.Millisecond
	// MinFactor is the smallest work factor. A smaller one is a mistake.
	MinFactor = 0.1
	// MaxFactor is the largest work factor. A larger one is a mistake, or comes from a server that
	// hangs, which failures show better.
	MaxFactor = 20.0
	// maxCount limits the reported numbers of requests and of slots. It is far above what one
	// server handles; a larger number is a mistake.
	maxCount = 100_000
	// usualPercent is the reported duration of work of a server at its usual speed.
	usualPercent = 100
	// minFields is the number of required fields, maxFields that of the known ones.
	minFields = 2
	maxFields = 4
)

type (
	// Report is one load report of a server.
	Report struct {
		Running, Waiting int
		// Slots is the number of requests that the server runs at once. Zero means unknown.
		Slots int
		// WorkPercent is the current duration of work in percent of the usual. Zero means unknown.
		WorkPercent int
	}

	// State tracks the latest report of one server. The zero value has none.
	State struct {
		slots  int
		factor float64
		at     time.Time
		// reportsSpeed is set if the latest report contained the duration of work.
		reportsSpeed bool
	}
)

// Parse decodes a report: running requests, waiting requests, slots and the duration of work in
// percent, separated by commas. The first two are required. Other figures that are missing or out
// of range are unknown, and further ones are ignored.
func Parse(text string) (Report, bool) {
	fields := strings.SplitN(text, ",", maxFields+1)
	if len(fields) < minFields {
		return Report{}, false
	}
	running, runningOK := parseFigure(fields[0], 0, maxCount)
	waiting, waitingOK := parseFigure(fields[1], 0, maxCount)
	if !runningOK || !waitingOK {
		return Report{}, false
	}
	r := Report{Running: running, Waiting: waiting}
	if len(fields) > 2 {
		r.Slots, _ = parseFigure(fields[2], 1, maxCount)
	}
	if len(fields) > 3 {
		r.WorkPercent, _ = parseFigure(fields[3], MinFactor*usualPercent, MaxFactor*usualPercent)
	}
	return r, true
}

// parseFigure returns zero and false unless the text is an integer within the bounds.
func parseFigure(text string, lowest, highest int) (int, bool) {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < lowest || n > highest {
		return 0, false
	}
	return n, true
}

// Factor returns the reported duration of work as a multiple of the usual one, or 1 if it is
// unknown.
func (r Report) Factor() float64 {
	if r.WorkPercent == 0 {
		return 1
	}
	return float64(r.WorkPercent) / usualPercent
}

// Record replaces the latest report.
func (s *State) Record(now time.Time, r Report) {
	s.slots, s.factor, s.at, s.reportsSpeed = r.Slots, r.Factor(), now, r.WorkPercent > 0
}

// ReportsSpeed returns whether the latest report, however old, contained the duration of work.
func (s *State) ReportsSpeed() bool { return s.reportsSpeed }

// Slots returns the reported slots while the report is fresh, otherwise the registered ones.
func (s *State) Slots(now time.Time, registered int) int {
	if s.slots == 0 || now.Sub(s.at) >= TTL {
		return registered
	}
	return s.slots
}

// Factor returns the work factor, which decays to 1 with the age of the report.
func (s *State) Factor(now time.Time) float64 {
	age := now.Sub(s.at)
	if s.factor == 0 || age >= TTL {
		return 1
	}
	return 1 + (s.factor-1)*(1-float64(max(0, age))/float64(TTL))
}

// Unexplained returns the part of ratio, an observed duration relative to the duration of work at
// the usual speed, that the work factors at the start and the end of the work do not explain. The
// speed in between is unknown: any ratio from the smaller to the larger factor is fully explained.
func Unexplained(ratio, before, after float64) float64 {
	switch smaller, larger := min(before, after), max(before, after); {
	case ratio > larger:
		return ratio / larger
	case ratio < smaller:
		return ratio / smaller
	}
	return 1
}
