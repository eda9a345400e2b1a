// Package losses counts requests that were late, rejected, failed or abandoned, by cause, route,
// region and server state. It reads proxy logs and the events that proxies retain.
package losses

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// Late requests were answered after the response time target of their route.
	Late Kind = "late"
	// Rejected requests were not run; their callers were told to retry later.
	Rejected Kind = "refused"
	// Failed requests got a server error, or no response and may have run.
	Failed Kind = "failed"
	// Abandoned requests were canceled by their callers.
	Abandoned Kind = "left"

	// Unknown replaces a value that the log does not contain.
	Unknown = "not told"
)

type (
	// Kind classifies a loss.
	Kind string

	// EndedRequest is one finished request as a proxy reports it.
	EndedRequest struct {
		At      time.Time
		Request string
		Route   string
		Region  string
		Outcome string
		Reason  string
		Cause   string
		State   string
		Took    time.Duration
		Target  time.Duration
	}

	// Key groups losses: requests with equal keys are counted together.
	Key struct {
		Kind   Kind   `json:"kind"`
		Cause  string `json:"why"`
		Route  string `json:"route"`
		Region string `json:"region"`
		State  string `json:"server-state"`
	}

	// Row is the number of losses with one key.
	Row struct {
		Key
		Count int `json:"count"`
	}

	// SecondCounts counts the losses reported within one second, by kind.
	SecondCounts struct {
		At     time.Time    `json:"at"`
		Counts map[Kind]int `json:"counts"`
	}

	// Table holds all counts.
	Table struct {
		Rows    []Row          `json:"rows"`
		Seconds []SecondCounts `json:"seconds"`
		// Lost is the total over all rows.
		Lost int `json:"lost"`
	}

	// Counter counts lost requests, each request ID once.
	Counter struct {
		rows    map[Key]int
		seconds map[time.Time]map[Kind]int
		seen    map[string]bool
	}
)

// NewCounter returns an empty Counter.
func NewCounter() *Counter {
	return &Counter{rows: make(map[Key]int), seconds: make(map[time.Time]map[Kind]int), seen: make(map[string]bool)}
}

// Add counts a request if it was lost. A request that is reported more than once, for example by
// a log and by the proxy, is counted once.
func (c *Counter) Add(e EndedRequest) {
	kind, why := classify(e)
	if kind == "" || e.Request != "" && c.seen[e.Request] {
		return
	}
	c.seen[e.Request] = true
	c.rows[Key{Kind: kind, Cause: why, Route: e.Route, Region: e.Region, State: e.State}]++
	c.addToSecond(e.At, kind, 1)
}

// AddOmitted counts requests that a proxy left out of its log: counts holds their number by
// result only, so route and server state are Unknown.
func (c *Counter) AddOmitted(at time.Time, region string, counts map[string]int) {
	for result, n := range counts {
		kind, why := Kind(""), result
		switch result {
		case steering.OutcomeDone.String():
			continue
		case string(Late):
			kind, why = Late, Unknown
		default:
			kind, _ = classify(EndedRequest{Reason: result, Outcome: steering.OutcomeNotRun.String()})
		}
		c.rows[Key{Kind: kind, Cause: why, Route: Unknown, Region: region, State: Unknown}] += n
		c.addToSecond(at, kind, n)
	}
}

func (c *Counter) addToSecond(at time.Time, kind Kind, n int) {
	second := at.Truncate(time.Second)
	if c.seconds[second] == nil {
		c.seconds[second] = make(map[Kind]int)
	}
	c.seconds[second][kind] += n
}

// classify returns the kind of loss and its cause, or an empty kind for a request that succeeded
// within its target.
func classify(e EndedRequest) (Kind, string) {
	switch steering.Reason(e.Reason) {
	case steering.ReasonNone:
		if e.Target <= 0 || e.Took <= e.Target {
			return "", ""
		}
		return Late, cmp.Or(e.Cause, Unknown)
	case steering.ReasonCallerGone:
		return Abandoned, e.Reason
	case steering.ReasonServerError, steering.ReasonConnectionLost:
		return Failed, e.Reason
	case steering.ReasonTimeout:
		if e.Cause == "" {
			return Failed, e.Reason
		}
		return Failed, e.Reason + ", " + e.Cause
	}
	if e.Outcome == steering.OutcomeMayHaveRun.String() {
		return Failed, e.Reason
	}
	return Rejected, e.Reason
}

// Table returns all counts, the largest first.
func (c *Counter) Table() Table {
	t := Table{Rows: make([]Row, 0, len(c.rows)), Seconds: make([]SecondCounts, 0, len(c.seconds))}
	for key, n := range c.rows {
		t.Rows = append(t.Rows, Row{Key: key, Count: n})
		t.Lost += n
	}
	slices.SortFunc(t.Rows, func(a, b Row) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Cause, b.Cause),
			cmp.Compare(a.Route, b.Route), cmp.Compare(a.Region, b.Region), cmp.Compare(a.State, b.State))
	})
	for at, counts := range c.seconds {
		t.Seconds = append(t.Seconds, SecondCounts{At: at, Counts: counts})
	}
	slices.SortFunc(t.Seconds, func(a, b SecondCounts) int { return a.At.Compare(b.At) })
	return t
}

// SumBy sums the rows by kind and by the part of the key that keyOf selects, the largest first.
func (t Table) SumBy(keyOf func(Key) string) []Row {
	sums := make(map[Key]int)
	for _, r := range t.Rows {
		sums[Key{Kind: r.Kind, Cause: keyOf(r.Key)}] += r.Count
	}
	rows := make([]Row, 0, len(sums))
	for key, n := range sums {
		rows = append(rows, Row{Key: key, Count: n})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(b.Count-a.Count, cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Cause, b.Cause))
	})
	return rows
}
