package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// Each log line of a late request names the cause that took most of its time, so that late requests
// can be counted by cause from these lines alone.
func TestLatencyCause(t *testing.T) {
	const (
		ms     = time.Millisecond
		target = 600 * ms
	)
	sent := func(at, wait, expected time.Duration, warm bool, state ServerState) Event {
		return Event{Kind: EventRequestSent, At: time.Unix(0, 0).Add(at), ExpectedWait: wait, Expected: expected, Warm: warm, State: state}
	}
	for name, c := range map[string]struct {
		sent []Event
		took time.Duration
		want Cause
	}{
		"in time":                  {[]Event{sent(0, 0, 300*ms, true, StateInUse)}, 500 * ms, CauseNone},
		"never sent":               {nil, 900 * ms, CauseNone},
		"first run":                {[]Event{sent(0, 0, 880*ms, false, StateInUse)}, 900 * ms, CauseFirstRun},
		"queue":                    {[]Event{sent(0, 700*ms, 900*ms, true, StateFull)}, 900 * ms, CauseQueue},
		"cold server":              {[]Event{sent(0, 0, 600*ms, true, StateCold)}, 900 * ms, CauseColdServer},
		"longer than estimated":    {[]Event{sent(0, 0, 300*ms, true, StateInUse)}, 900 * ms, CauseSlowServer},
		"work itself":              {[]Event{sent(0, 0, 800*ms, true, StateInUse)}, 900 * ms, CauseWork},
		"second attempt came late": {[]Event{sent(0, 0, 300*ms, true, StateInUse), sent(600*ms, 0, 300*ms, true, StateInUse)}, 900 * ms, CauseFailedAttempts},
	} {
		req := &ActiveRequest{startedAt: time.Unix(0, 0), Route: &routing.Route{Target: target}, steps: c.sent}
		if got, _ := req.latencyCause(req.startedAt.Add(c.took)); got != c.want {
			t.Errorf("%s: the cause is %q, want %q", name, got, c.want)
		}
	}
}
