package hedging

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	ms = time.Millisecond
)

// usualRuns returns the run times of runs from 90 to 110 ms.
func usualRuns(n int) *RunTimes {
	r, random := &RunTimes{}, rand.New(rand.NewPCG(1, 1))
	for range n {
		r.Record(90*ms+time.Duration(random.Int64N(int64(20*ms))), 1, 1)
	}
	return r
}

// usualRequest is a request that may be hedged.
func usualRequest() Request {
	return Request{Repeatable: true, Warm: true, RoundTrip: 2 * ms, ExpectedWait: 5 * ms, WorkFactor: 1, UntilTarget: 400 * ms, UntilTimeout: time.Second}
}

// Guards against a delay that follows the few slow runs, so that none of them is hedged, or that is
// derived from a handful of runs.
func TestDelayFollowsUsualRuns(t *testing.T) {
	runs := usualRuns(MinSamples - 1)
	if got, verdict := Delay(usualRequest(), runs); got != 0 || verdict != NotWarm {
		t.Errorf("after %d runs: got delay %s, verdict %d, want none", MinSamples-1, got, verdict)
	}
	for i := range 1000 {
		runs.Record(100*ms, 1, 1)
		if i%33 == 0 {
			runs.Record(700*ms, 1, 1)
		}
	}
	if got, verdict := Delay(usualRequest(), runs); got < 107*ms || got > 140*ms || verdict != Allowed {
		t.Errorf("got delay %s, verdict %d, want 107 to 140 ms, allowed", got, verdict)
	}
}

// Guards against a delay that stays short when all runs become slower, so that every request is
// hedged.
func TestDelayFollowsSlowerRuns(t *testing.T) {
	runs := usualRuns(1000)
	for range maxSamples {
		runs.Record(200*ms, 1, 1)
	}
	if got, _ := runs.Long(); got != 200*ms {
		t.Errorf("got %s, want 200ms", got)
	}
	if len(runs.sorted) != maxSamples || len(runs.recent) != maxSamples {
		t.Errorf("%d and %d runs are kept, want %d", len(runs.sorted), len(runs.recent), maxSamples)
	}
}

// Guards against hedges of requests that must not run twice, that can't be answered in time, or
// that would make an overload or a series of crashes worse.
func TestHedgesAreDenied(t *testing.T) {
	home := Server{Usable: true, Warm: true, Slowdown: 1, RoundTrip: 2 * ms}
	for name, c := range map[string]struct {
		change func(*Request, *Load, *Server)
		want   Verdict
	}{
		"usual":         {func(*Request, *Load, *Server) {}, Allowed},
		"once only":     {func(r *Request, _ *Load, _ *Server) { r.Repeatable = false }, NotRepeatable},
		"cold run":      {func(r *Request, _ *Load, _ *Server) { r.Warm = false }, NotWarm},
		"limiter":       {func(r *Request, _ *Load, _ *Server) { r.HoldsSlot = true }, HoldsSlot},
		"suspected":     {func(r *Request, _ *Load, _ *Server) { r.Suspected = true }, MayCrashServers},
		"past target":   {func(r *Request, _ *Load, _ *Server) { r.UntilTarget = 90 * ms }, TooLate},
		"near timeout":  {func(r *Request, _ *Load, _ *Server) { r.UntilTimeout = 90 * ms }, TooLate},
		"queues":        {func(_ *Request, l *Load, _ *Server) { l.Pressure = 0.26 }, Overloaded},
		"shedding":      {func(_ *Request, l *Load, _ *Server) { l.Shedding = true }, Overloaded},
		"full server":   {func(_ *Request, _ *Load, s *Server) { s.Wait = 60 * ms }, NoServer},
		"slow server":   {func(_ *Request, _ *Load, s *Server) { s.Slowdown = 2 }, NoServer},
		"cold object":   {func(_ *Request, _ *Load, s *Server) { s.Warm = false }, NoServer},
		"cold server":   {func(_ *Request, _ *Load, s *Server) { s.Cold = true }, NoServer},
		"ejected":       {func(_ *Request, _ *Load, s *Server) { s.Usable = false }, NoServer},
		"remote server": {func(r *Request, _ *Load, s *Server) { r.UntilTarget, s.RoundTrip = 150*ms, 70*ms }, TooLate},
	} {
		r, load, s := usualRequest(), Load{Pressure: 0.2}, home
		c.change(&r, &load, &s)
		if i, got := Choose(r, usualRuns(100), load, []Server{s}); got != c.want || (i == 0) != (got == Allowed) {
			t.Errorf("%s: got server %d, verdict %d, want verdict %d", name, i, got, c.want)
		}
	}
}

// Guards against a second attempt at a home that is slow or full as such, and at a server that
// would run the request cold although the home is as usual.
func TestHedgeGoesToWarmServer(t *testing.T) {
	usual, slow := Server{Usable: true, Warm: true, Slowdown: 1, RoundTrip: 70 * ms}, Server{Usable: true, Warm: true, Slowdown: 2.5}
	near, cold := Server{Usable: true, Warm: true, Slowdown: 1, RoundTrip: 2 * ms}, Server{Usable: true, Slowdown: 1}
	for name, c := range map[string]struct {
		servers []Server
		want    int
	}{
		"home as usual":        {[]Server{usual, near}, 0},
		"slow home":            {[]Server{slow, cold, usual, near}, 3},
		"slow and cold server": {[]Server{slow, cold}, -1},
	} {
		if got, verdict := Choose(usualRequest(), usualRuns(100), Load{}, c.servers); got != c.want || (verdict == Allowed) != (got >= 0) {
			t.Errorf("%s: got server %d, verdict %d, want server %d", name, got, verdict, c.want)
		}
	}
}

// Guards against a delay that is returned although the hedge would be denied when it has passed.
func TestNoDelayIfHedgeWouldBeLate(t *testing.T) {
	r := usualRequest()
	r.UntilTarget = 180 * ms
	if got, verdict := Delay(r, usualRuns(100)); got != 0 || verdict != TooLate {
		t.Errorf("got delay %s, verdict %d, want none, too late", got, verdict)
	}
}
