package forward

import (
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// sampleOneIn is how many requests that ended well leave one in the log.
	// Failed, slow, refused and repeated ones are always kept.
	sampleOneIn = 200
	// fullPerSecond bounds the requests written decision by decision: a server
	// group that fails must not turn the log into the load. At 300 bytes a line
	// and four lines a request this is 120 KB a second.
	fullPerSecond = 100
	// briefPerSecond bounds the requests beyond those that get their last line
	// only, with the servers tried in it: another 120 KB a second. Past both they
	// are counted by how they ended.
	briefPerSecond = 400
	// leftOutEvery is how often the number of requests left out is told.
	leftOutEvery   = 10 * time.Second
	messageLeftOut = "requests left out of the log"
	// endingLate counts answers that came after the route's target.
	endingLate = "late"
	// worksInLine bounds the works that a line names.
	worksInLine = 16
	// recordsKept is how many events are kept for operators to ask for.
	recordsKept = 4096
)

type (
	// journal keeps the decisions: as log lines, as metrics and in memory.
	journal struct {
		vm     string
		now    func() time.Time
		meters *meters

		mu     sync.Mutex
		ring   *core.RingBuffer[steeringhttp.Event]
		served uint64
		second time.Time
		full   int
		brief  int
		// leftOut counts the requests that were not written, by reason.
		leftOut map[string]int
		toldAt  time.Time
	}

	// detail is how much of a request is written.
	detail int
)

const (
	nothing detail = iota
	lastLine
	allLines
)

func newJournal(vm string, now func() time.Time, m *meters) *journal {
	return &journal{vm: vm, now: now, meters: m, ring: core.NewRingBuffer[steeringhttp.Event](recordsKept), leftOut: make(map[string]int), toldAt: now()}
}

// event takes in what the kernel tells.
func (j *journal) event(e steering.Event) {
	j.meters.event(e)
	if e.Kind != steering.EventFinished {
		j.keep(e)
		klog.InfoS(string(e.Kind), "service", e.Service, "server", e.Server, "failure-domain", e.Domain, "region", e.Region, "elsewhere", e.Elsewhere,
			"configuration", e.Version, "draining", e.Draining, "cause", e.Result.String(), "for", e.Took.String(), "limit", e.Limit.String(), "work", e.Work.String(), "ends", e.Ends, "works", names(e.Works))
		return
	}
	wanted := j.wanted(e)
	if wanted == nothing {
		return
	}
	if wanted == allLines {
		for _, s := range e.Steps {
			s.Request, s.Route, s.Service, s.Object, s.Work, s.Version = e.Request, e.Route, e.Service, e.Object, e.Work, e.Version
			j.keep(s)
			j.writeStep(s, e.At.Sub(s.At))
		}
	}
	j.keep(e)
	klog.InfoS(string(e.Kind), "request", e.Request, "route", e.Route, "account", e.Account, "work", e.Work.String(), "configuration", e.Version,
		"outcome", e.Outcome.String(), "reason", string(e.Reason), "took", e.Took.String(), "attempts", e.Attempt, "tried", tried(e.Steps),
		"come-back", e.ComeBack.String(), "pressure", e.Pressure, "target", e.Target.String(), "cause", string(e.Cause), "server-state", string(e.State))
}

// tried lists the servers that a request was sent to, with what came of it.
func tried(steps []steering.Event) string {
	var list []string
	for _, s := range steps {
		if s.Kind == steering.EventAttemptEnded {
			list = append(list, s.Server+" "+s.Result.String())
		}
	}
	return strings.Join(list, ", ")
}

// writeStep writes a decision of a request that ended a while after it.
func (j *journal) writeStep(s steering.Event, ago time.Duration) {
	if s.Kind == steering.EventSent {
		klog.InfoS(string(s.Kind), "request", s.Request, "route", s.Route, "configuration", s.Version, "service", s.Service,
			"server", s.Server, "failure-domain", s.Domain, "object", s.Object, "work", s.Work.String(), "home-rank", s.Home, "warm", s.Warm, "attempt", s.Attempt,
			"expected", s.Expected.String(), "load", s.Load, "wait", s.Wait.String(), "server-state", string(s.State), "load-age", age(s.LoadAge), "ago", ago.String())
		return
	}
	klog.InfoS(string(s.Kind), "request", s.Request, "work", s.Work.String(), "server", s.Server, "attempt", s.Attempt, "result", s.Result.String(),
		"expected", s.Expected.String(), "took", s.Took.String(), "server-load", s.Load, "ago", ago.String(), "error", text(s.Err))
}

// names lists works for the log, as many as a line bears.
func names(works []quarantine.Work) string {
	list := make([]string, 0, worksInLine)
	for _, w := range works[:min(len(works), worksInLine)] {
		list = append(list, w.String())
	}
	return strings.Join(list, ", ")
}

// wanted decides how much of a request is written, and counts those left out.
func (j *journal) wanted(e steering.Event) detail {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.now()
	if now.Sub(j.second) >= time.Second {
		j.second, j.full, j.brief = now, 0, 0
	}
	j.tellLeftOut(now)
	notable := e.Reason != steering.ReasonNone || e.Attempt > 1 || late(e)
	j.served++
	switch {
	case !notable && j.served%sampleOneIn != 0:
	case j.full < fullPerSecond:
		j.full++
		return allLines
	case j.brief < briefPerSecond:
		j.brief++
		return lastLine
	}
	j.leftOut[ending(e)]++
	return nothing
}

// late reports whether a request took longer than its route's target.
func late(e steering.Event) bool { return e.Target > 0 && e.Took > e.Target }

// ending names how a request ended, for counts.
func ending(e steering.Event) string {
	switch {
	case e.Reason != steering.ReasonNone:
		return string(e.Reason)
	case late(e):
		return endingLate
	}
	return e.Outcome.String()
}

func (j *journal) tellLeftOut(now time.Time) {
	if now.Sub(j.toldAt) < leftOutEvery {
		return
	}
	klog.InfoS(messageLeftOut, "counts", j.leftOut, "served", j.served)
	clear(j.leftOut)
	j.toldAt = now
}

// keep holds an event for operators to ask for.
func (j *journal) keep(e steering.Event) {
	if e.At.IsZero() {
		e.At = j.now()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ring.Add(steeringhttp.NewEvent(j.vm, e))
}

// events lists what is kept, of one request or all.
func (j *journal) events(request string) []steeringhttp.Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []steeringhttp.Event
	for _, e := range j.ring.All() {
		if request == "" || e.Request == request {
			list = append(list, e)
		}
	}
	return list
}

// age is a time for the log; a negative one means that there is none.
func age(d time.Duration) string {
	if d < 0 {
		return "none"
	}
	return d.String()
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
