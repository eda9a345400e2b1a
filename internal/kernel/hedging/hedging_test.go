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

// 15% of the servers take 2.5 times as long for less than a second. Guards against such runs in the
// quantile where reports explain them, and against a delay after which no hedge is in time where
// they do not, because the server reported its usual speed before and after.
func TestSlowServersLeaveDelayShort(t *testing.T) {
	for name, c := range map[string]struct{ before, after float64 }{
		"slow throughout": {2.5, 2.5}, "reported before": {2.5, 1}, "reported after": {1, 2.5}, "not reported": {1, 1},
	} {
		runs := usualRuns(0)
		for i := range 1000 {
			if i%100 < 15 {
				runs.Record(250*ms, c.before, c.after)
			} else {
				runs.Record(time.Duration(90+i%21)*ms, 1, 1)
			}
		}
		if long, _ := runs.Long(); long > 110*ms && c != struct{ before, after float64 }{1, 1} {
			t.Errorf("%s: got a long duration of %s, want at most 110ms", name, long)
		}
		for _, roundTrip := range []time.Duration{ms, 20 * ms} {
			r := Request{Repeatable: true, Warm: true, RoundTrip: roundTrip, WorkFactor: 1, UntilTarget: 290 * ms, UntilTimeout: 900 * ms}
			delay, verdict := Delay(r, runs)
			if runs := float64(delay-roundTrip) / float64(100*ms); runs < 1.15 || runs > 1.65 || verdict != Allowed {
				t.Errorf("%s, round trip %s: got a delay of %.2f runs, verdict %d, want 1.15 to 1.65 runs, allowed", name, roundTrip, runs, verdict)
			}
		}
	}
}

// A tenth of the runs are at a server that reports a speed at which it does not work. Guards against
// a delay of the other servers that follows such reports, and against hedges of all its runs.
func TestWrongReportsLeaveDelay(t *testing.T) {
	want, _ := Delay(usualRequest(), usualRuns(1000))
	for _, factor := range []float64{0.1, 20} {
		runs, random := &RunTimes{}, rand.New(rand.NewPCG(1, 1))
		for i := range 1000 {
			reported := 1.0
			if i%10 == 9 {
				reported = factor
			}
			runs.Record(90*ms+time.Duration(random.Int64N(int64(20*ms))), reported, reported)
		}
		r := usualRequest()
		r.WorkFactor = min(1, factor)
		if got, verdict := Delay(r, runs); (got-want).Abs() > 5*ms || verdict != Allowed {
			t.Errorf("factor %v: got delay %s, verdict %d, want about %s", factor, got, verdict, want)
		}
	}
}

// Guards against a hedge of each run at a server that reports that it is slow.
func TestDelayFollowsReportedSpeed(t *testing.T) {
	r, runs := usualRequest(), usualRuns(100)
	usual, _ := Delay(r, runs)
	r.WorkFactor = 2
	if got, verdict := Delay(r, runs); (got-2*usual+r.RoundTrip+r.ExpectedWait).Abs() > time.Microsecond || verdict != Allowed {
		t.Errorf("got %s, verdict %d, want twice the run in the delay of %s", got, verdict, usual)
	}
	r.WorkFactor = 4
	if got, verdict := Delay(r, runs); got != 0 || verdict != TooLate {
		t.Errorf("got %s, verdict %d at a quarter of the speed, want none, too late", got, verdict)
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
