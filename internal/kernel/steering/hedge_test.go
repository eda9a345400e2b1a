package steering

import (
	"slices"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/hedging"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/serverload"
	"github.com/gypsumquay/gypsumquay/internal/kernel/shutdown"
)

const (
	// usualRun is how long the runs of hedgeRun's requests usually take.
	usualRun = 50 * time.Millisecond
)

// hedgeRun is a kernel that knows how long the runs of its route take, and a request that has one
// attempt in flight at its home.
type hedgeRun struct {
	*testing.T
	kernel *Kernel
	now    time.Time
	events []Event
	req    *ActiveRequest
	first  Decision
}

func newHedgeRun(t *testing.T, change func(*Config, *routing.Route)) *hedgeRun {
	t.Helper()
	r := &hedgeRun{T: t, now: time.Unix(1_000_000, 0)}
	config := Config{
		Name: "proxy", Domain: "north-a", Region: "north", RegionOf: regionOf, Joined: r.now.Add(-time.Minute), Observe: func(e Event) { r.events = append(r.events, e) },
		Bounds: Bounds{Retry: ampleRetries, ColdFactor: 1.5, ColdSlack: 5},
	}
	route := &routing.Route{
		Name: "route", Host: "host", Prefix: "/", Idempotent: true, Sticky: true, Attempts: 2, Timeout: 2 * time.Second, Target: 500 * time.Millisecond,
		Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}
	if change != nil {
		change(&config, route)
	}
	r.kernel = New(config)
	accounts, _ := account.NewTable([]*account.Account{{Name: "a", Keys: []account.Key{accountKey(t, testAccountKey)}, Limit: ratelimit.Limit{PerSecond: 10, Burst: 20}}})
	r.kernel.SetTable(routing.NewTable(1, []*routing.Route{route}, nil, routing.Limits{}).WithAccounts(accounts))
	r.kernel.SetFleetSize(1)
	for _, id := range []string{"s1", "s2", "s3"} {
		r.kernel.RegisterServer(r.now, routing.Server{ID: id, Service: "service", Domain: "north-a", Slots: 4})
	}
	r.kernel.Tick(r.now)
	r.now = r.now.Add(10 * time.Second)
	for range hedging.MinSamples + 1 {
		r.now = r.now.Add(usualRun)
		r.begin()
		r.now = r.now.Add(usualRun)
		r.end(Attempt{Result: ResultResponded, Loaded: true, Running: 1})
	}
	r.begin()
	return r
}

func (r *hedgeRun) begin() {
	key := account.Credential{State: account.CredentialPresent, Key: accountKey(r.T, testAccountKey)}
	r.req, r.first = r.kernel.BeginRequest(r.now, Request{ID: "r", Host: "host", Path: "/x", Object: "o", Work: quarantine.Fingerprint{1}, Credential: key})
}

func (r *hedgeRun) end(a Attempt) Decision { return r.kernel.EndAttempt(r.now, r.req, a) }

// hedge lets the delay pass and begins the hedge, which must be allowed.
func (r *hedgeRun) hedge() {
	r.Helper()
	if r.first.HedgeAfter == 0 {
		r.Fatalf("got no delay in %+v, want one", r.first)
	}
	r.now = r.now.Add(r.first.HedgeAfter)
	if d := r.kernel.BeginHedge(r.now, r.req); d.Server == nil {
		r.Fatal("got no second attempt, want one")
	}
}

// expectIdle fails the test if a server still counts an attempt as in flight.
func (r *hedgeRun) expectIdle() {
	r.Helper()
	for id, s := range r.kernel.servers {
		if s.inFlight != 0 {
			r.Errorf("%s: %d requests in flight, want none", id, s.inFlight)
		}
	}
}

// expectNotRunning fails the test if the quarantine still counts an attempt as in flight. It makes
// the fingerprint of the request suspected.
func (r *hedgeRun) expectNotRunning() {
	r.Helper()
	r.suspect()
	if got, _ := r.kernel.quarantine.Status(r.now, r.req.Work); got != quarantine.Suspected {
		r.Errorf("got status %d of the fingerprint, want %d: none is running", got, quarantine.Suspected)
	}
}

// suspect makes the fingerprint of the request suspected of crashing servers.
func (r *hedgeRun) suspect() {
	for i := range quarantine.InstanceID(2) {
		r.kernel.quarantine.RecordConnectionLoss(r.now.Add(time.Second), r.req.Work, 1000+i)
		r.kernel.quarantine.RecordServerGone(r.now.Add(time.Second), 1000+i)
	}
}

// lastEvent returns the event of the last request that ended.
func (r *hedgeRun) lastEvent() Event {
	i := slices.IndexFunc(r.events, func(e Event) bool { return e.Kind == EventRequestEnded && e.Request == "r" && len(e.Steps) > 2 })
	if i < 0 {
		r.Fatal("got no event of a request with two attempts")
	}
	return r.events[i]
}

// Guards against attempts that stay counted as in flight, against a cancelled attempt that counts
// as a failure or success of its server, and against a third attempt, in each order in which two
// attempts can end.
func TestHedgedRequestEndsOnce(t *testing.T) {
	type end struct {
		hedge  bool
		result Result
		want   string
	}
	for name, c := range map[string]struct {
		ends    []end
		outcome HedgeOutcome
	}{
		"hedge wins":                {[]end{{true, ResultResponded, "answer"}}, HedgeWon},
		"first wins":                {[]end{{false, ResultResponded, "answer"}}, HedgeLost},
		"first breaks":              {[]end{{false, ResultConnectionLost, "other"}, {true, ResultResponded, "answer"}}, HedgeWon},
		"first fails":               {[]end{{false, ResultServerError, "other"}, {true, ResultResponded, "answer"}}, HedgeWon},
		"hedge is rejected":         {[]end{{true, ResultRejected, "other"}, {false, ResultResponded, "answer"}}, HedgeLost},
		"hedge finds nobody":        {[]end{{true, ResultUnreachable, "other"}, {false, ResultResponded, "answer"}}, HedgeLost},
		"hedge is withheld":         {[]end{{true, ResultNotSent, "other"}, {false, ResultResponded, "answer"}}, HedgeLost},
		"both break":                {[]end{{true, ResultConnectionLost, "other"}, {false, ResultConnectionLost, "may-have-run broken"}}, HedgeLost},
		"both fail":                 {[]end{{false, ResultConnectionLost, "other"}, {true, ResultServerError, "answer"}}, HedgeLost},
		"both are rejected":         {[]end{{true, ResultRejected, "other"}, {false, ResultRejected, "not-run refused-by-server"}}, HedgeLost},
		"both time out":             {[]end{{false, ResultTimeout, "other"}, {true, ResultTimeout, "may-have-run timeout"}}, HedgeLost},
		"caller leaves":             {[]end{{false, ResultCallerGone, "may-have-run caller-left"}}, HedgeLost},
		"caller leaves the hedge":   {[]end{{true, ResultCallerGone, "may-have-run caller-left"}}, HedgeLost},
		"caller leaves one of two":  {[]end{{false, ResultRejected, "other"}, {true, ResultCallerGone, "may-have-run caller-left"}}, HedgeLost},
		"another server answers it": {[]end{{true, ResultWrongServer, "other"}, {false, ResultResponded, "answer"}}, HedgeLost},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHedgeRun(t, nil)
			home := r.kernel.servers[r.first.Server.ID]
			r.hedge()
			if home.inFlight != 2 {
				t.Errorf("%d attempts in flight at the home, want 2", home.inFlight)
			}
			failures := home.failureShare
			for _, e := range c.ends {
				d := r.end(Attempt{Result: e.result, Hedge: e.hedge})
				got := describeDecision(d)
				if d.OtherContinues {
					got = "other"
				}
				if got != e.want {
					t.Errorf("after %s of the hedge %t: got %q, want %q", e.result, e.hedge, got, e.want)
				}
			}
			r.expectIdle()
			r.expectNotRunning()
			if len(c.ends) == 1 && home.failureShare > failures {
				t.Error("the cancelled attempt counts as a failure")
			}
			e := r.lastEvent()
			if e.Hedge != c.outcome || e.Attempt != 2 || len(e.Steps) != 4 {
				t.Errorf("got outcome %q, %d attempts and %d steps, want %q, 2 and 4", e.Hedge, e.Attempt, len(e.Steps), c.outcome)
			}
		})
	}
}

// Guards against hedges of requests that must not run a second time.
func TestRequestIsNotHedged(t *testing.T) {
	for name, change := range map[string]func(*Config, *routing.Route){
		"switched off":   func(c *Config, _ *routing.Route) { c.Off = []Mechanism{MechanismHedging} },
		"without retry":  func(c *Config, _ *routing.Route) { c.Off = []Mechanism{MechanismRetries} },
		"not idempotent": func(_ *Config, r *routing.Route) { r.Idempotent = false },
		"one attempt":    func(_ *Config, r *routing.Route) { r.Attempts = 1 },
		"no objects":     func(_ *Config, r *routing.Route) { r.Sticky = false },
		"short target":   func(_ *Config, r *routing.Route) { r.Target = 100 * time.Millisecond },
	} {
		if r := newHedgeRun(t, change); r.first.HedgeAfter != 0 {
			t.Errorf("%s: got delay %s, want none", name, r.first.HedgeAfter)
		}
	}
}

// Guards against hedges that the state at the end of the delay forbids: a request holds a slot of a
// limiter or may crash servers, the home drains, is slow or has queues, or the configuration has changed.
func TestHedgeIsDeniedWhenDelayHasPassed(t *testing.T) {
	for name, change := range map[string]func(*hedgeRun){
		"limiter":   func(r *hedgeRun) { r.kernel.service("service").concurrency.limitedUntil = r.now.Add(time.Minute) },
		"draining":  func(r *hedgeRun) { r.kernel.servers[r.first.Server.ID].Draining = true },
		"evacuated": func(r *hedgeRun) { r.kernel.SetDomainEvacuated(r.now, "north-a", true) },
		"gone":      func(r *hedgeRun) { r.kernel.RemoveServer(r.now, r.first.Server.ID) },
		"queues":    func(r *hedgeRun) { r.kernel.recordQueue(r.now, r.req, r.kernel.servers[r.first.Server.ID], 4, 1000) },
		"slow": func(r *hedgeRun) {
			r.kernel.servers[r.first.Server.ID].reported.Record(r.now, serverload.Report{WorkPercent: 250})
		},
		"shutdown":      func(r *hedgeRun) { r.kernel.BeginShutdown(shutdown.Plan{BegunAt: r.now, Grace: 2 * time.Second}) },
		"configuration": func(r *hedgeRun) { r.kernel.SetTable(routing.NewTable(2, nil, nil, routing.Limits{})) },
		"suspected":     func(r *hedgeRun) { r.suspect() },
		"lost before":   func(r *hedgeRun) { r.req.connectionsLost++ },
	} {
		r := newHedgeRun(t, nil)
		r.now = r.now.Add(r.first.HedgeAfter)
		change(r)
		if d := r.kernel.BeginHedge(r.now, r.req); d.Server != nil {
			t.Errorf("%s: the request is sent again to %s", name, d.Server.ID)
		}
		r.end(Attempt{Result: ResultResponded})
		r.expectIdle()
	}
}

// Guards against a server crash that is not held against a request because two of its attempts were
// there, and against a request that crashes a third server.
func TestCrashOfBothAttemptsIsEvidence(t *testing.T) {
	r := newHedgeRun(t, func(_ *Config, route *routing.Route) { route.Attempts = 4 })
	home := r.first.Server.ID
	r.hedge()
	r.end(Attempt{Result: ResultConnectionLost})
	if d := r.end(Attempt{Result: ResultConnectionLost, Hedge: true}); d.Server != nil {
		t.Errorf("the request is sent to %s after two lost connections, want no further attempt", d.Server.ID)
	}
	r.kernel.RecordConnectionRefused(r.now, home)
	crashed := slices.IndexFunc(r.events, func(e Event) bool { return e.Kind == EventServerCrashed })
	if crashed < 0 || !slices.Equal(r.events[crashed].RunningFingerprints, []quarantine.Fingerprint{r.req.Work}) {
		t.Error("no crash with the request in flight is reported")
	}
	r.expectIdle()
}

// Guards against hedges that follow the speed of servers instead of slow runs: a delay that grows
// because runs at slow servers are learned, and one that ignores that the server is slow now.
func TestDelayOfHedgeFollowsReportedSpeed(t *testing.T) {
	r := newHedgeRun(t, func(_ *Config, route *routing.Route) { route.Target = time.Second })
	usual := r.first.HedgeAfter
	finish := func(factor int) {
		r.now = r.now.Add(time.Duration(factor) * usualRun)
		r.end(Attempt{Result: ResultResponded, Loaded: true, Running: 1, WorkPercent: 100 * factor})
		r.begin()
	}
	for range 3 * hedging.MinSamples {
		finish(2)
	}
	if got, want := r.first.HedgeAfter, 2*usual; got < want-usual/10 || got > want+usual/10 {
		t.Errorf("got delay %s at half the speed, want about %s", got, want)
	}
	finish(1)
	finish(1)
	if got := r.first.HedgeAfter; got < usual-usual/10 || got > usual+usual/10 {
		t.Errorf("got delay %s at the usual speed after slow runs, want about %s", got, usual)
	}
}

// Guards against a home that gets no hedges for several responses after a slow run, because proxies
// expect that its runs take longer, although it reports its usual speed.
func TestSlowRunLeavesHomeOpenToHedges(t *testing.T) {
	for _, percent := range []int{100, 0} {
		r := newHedgeRun(t, nil)
		r.now = r.now.Add(7 * usualRun)
		r.end(Attempt{Result: ResultResponded, Loaded: true, Running: 1, WorkPercent: percent})
		r.now = r.now.Add(time.Second)
		r.begin()
		r.now = r.now.Add(r.first.HedgeAfter)
		if d := r.kernel.BeginHedge(r.now, r.req); (d.Server != nil) != (percent > 0) {
			t.Errorf("reported work of %d%%: got second attempt %t, want %t", percent, d.Server != nil, percent > 0)
		}
	}
}

// Guards against hedges beyond their part of the retry budget: without slack, 0.04 of the requests.
func TestHedgesAreBudgeted(t *testing.T) {
	r := newHedgeRun(t, func(c *Config, _ *routing.Route) { c.Retry = RetryBudget{Ratio: 0.2, Window: 10 * time.Second} })
	hedges := 0
	for range 100 {
		r.now = r.now.Add(r.first.HedgeAfter)
		if d := r.kernel.BeginHedge(r.now, r.req); d.Server != nil {
			hedges++
		}
		r.end(Attempt{Result: ResultResponded, Hedge: r.req.hedge != nil})
		r.now = r.now.Add(usualRun)
		r.begin()
	}
	if hedges < 1 || hedges > 5 {
		t.Errorf("%d of 100 requests were hedged, want 1 to 5", hedges)
	}
}

// Guards against a rate limit that an account exceeds by hedges.
func TestHedgesAreChargedToTheAccount(t *testing.T) {
	admitted := func(hedged bool) (n int) {
		r := newHedgeRun(t, nil)
		r.now = r.now.Add(r.first.HedgeAfter)
		if hedged {
			r.kernel.BeginHedge(r.now, r.req)
		}
		for ; n < 100; n++ {
			if r.begin(); r.first.Reason == ReasonRateLimit {
				return n
			}
		}
		return n
	}
	if plain, hedged := admitted(false), admitted(true); plain < 1 || plain == 100 || hedged != plain-1 {
		t.Errorf("%d requests are admitted after a hedge, want one less than the %d without", hedged, plain)
	}
}
