package forward

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// sampleOneIn is how many requests that ended well leave one in the log.
	// Failed, slow, refused and repeated ones are always kept.
	sampleOneIn = 200
	// requestsPerSecond bounds the requests written in full: a server group
	// that fails must not turn the log into the load. At 300 bytes a line and
	// four lines a request this is 120 KB a second.
	requestsPerSecond = 100
	// leftOutEvery is how often the number of requests left out is told.
	leftOutEvery = 10 * time.Second
	// recordsKept is how many events are kept for operators to ask for.
	recordsKept = 4096
)

type (
	// journal keeps the decisions: as log lines, as metrics and in memory.
	journal struct {
		vm     string
		now    func() time.Time
		meters *meters

		mu      sync.Mutex
		ring    *core.Ring[steeringhttp.Event]
		served  uint64
		second  time.Time
		written int
		leftOut int
		toldAt  time.Time
	}
)

func newJournal(vm string, now func() time.Time, m *meters) *journal {
	return &journal{vm: vm, now: now, meters: m, ring: core.NewRing[steeringhttp.Event](recordsKept), toldAt: now()}
}

// event takes in what the kernel tells.
func (j *journal) event(e steering.Event) {
	j.meters.event(e)
	if e.Kind != steering.EventFinished {
		j.keep(e)
		klog.InfoS(string(e.Kind), "service", e.Service, "server", e.Server, "failure-domain", e.Domain,
			"configuration", e.Version, "draining", e.Draining, "cause", e.Result.String(), "for", e.Took.String())
		return
	}
	if !j.wanted(e) {
		return
	}
	for _, s := range e.Steps {
		s.Request, s.Route, s.Service, s.Object, s.Version = e.Request, e.Route, e.Service, e.Object, e.Version
		j.keep(s)
		j.writeStep(s, e.At.Sub(s.At))
	}
	j.keep(e)
	klog.InfoS(string(e.Kind), "request", e.Request, "route", e.Route, "configuration", e.Version,
		"outcome", e.Outcome.String(), "reason", string(e.Reason), "took", e.Took.String(), "attempts", e.Attempt,
		"come-back", e.ComeBack.String(), "pressure", e.Pressure)
}

// writeStep writes a decision of a request that ended a while after it.
func (j *journal) writeStep(s steering.Event, ago time.Duration) {
	if s.Kind == steering.EventSent {
		klog.InfoS(string(s.Kind), "request", s.Request, "route", s.Route, "configuration", s.Version, "service", s.Service,
			"server", s.Server, "failure-domain", s.Domain, "object", s.Object, "home-rank", s.Home, "warm", s.Warm, "attempt", s.Attempt,
			"expected", s.Expected.String(), "load", s.Load, "load-age", age(s.LoadAge), "ago", ago.String())
		return
	}
	klog.InfoS(string(s.Kind), "request", s.Request, "server", s.Server, "attempt", s.Attempt, "result", s.Result.String(),
		"expected", s.Expected.String(), "took", s.Took.String(), "server-load", s.Load, "ago", ago.String(), "error", text(s.Err))
}

// wanted decides whether a request is written, and counts those left out.
func (j *journal) wanted(e steering.Event) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := j.now()
	if now.Sub(j.second) >= time.Second {
		j.second, j.written = now, 0
	}
	j.tellLeftOut(now)
	notable := e.Reason != steering.ReasonNone || e.Attempt > 1 || e.Target > 0 && e.Took > e.Target
	j.served++
	if !notable && j.served%sampleOneIn != 0 || j.written >= requestsPerSecond {
		j.leftOut++
		return false
	}
	j.written++
	return true
}

func (j *journal) tellLeftOut(now time.Time) {
	if now.Sub(j.toldAt) < leftOutEvery {
		return
	}
	klog.InfoS("requests left out of the log", "count", j.leftOut, "served", j.served)
	j.toldAt, j.leftOut = now, 0
}

// keep holds an event for operators to ask for.
func (j *journal) keep(e steering.Event) {
	if e.At.IsZero() {
		e.At = j.now()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ring.Put(steeringhttp.EventOf(j.vm, e))
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
