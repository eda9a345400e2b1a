package backpressure

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	server = quarantine.Server(1)
)

var (
	start = time.Unix(1_000_000, 0)
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func limited(perSecond float64) Signal {
	return Signal{Limit: Limit{Named: true, PerSecond: perSecond}}
}

// Guards against an answer from before a limit that arrives after it and lifts it.
func TestOvertakenAnswerDoesNotLiftALimit(t *testing.T) {
	l := NewLedger()
	l.Heard(at(100), at(50), server, limited(6), true)
	if w := l.Heard(at(110), at(20), server, Signal{}, true); !w.limit.Named {
		t.Error("an answer to an earlier request has lifted the limit")
	}
	if w := l.Heard(at(120), at(30), server, limited(9), true); w.limit.PerSecond != 6 {
		t.Errorf("an answer to an earlier request has raised the limit to %v", w.limit)
	}
	if w := l.Heard(at(300), at(200), server, Signal{}, false); !w.limit.Named {
		t.Error("an answer of which not all is known has lifted the limit")
	}
	if w := l.Heard(at(300), at(200), server, limited(9), true); w.limit.PerSecond != 9 {
		t.Errorf("got %v, want the limit that was named last", w.limit)
	}
	if w := l.Heard(at(500), at(400), server, Signal{}, true); w.limit.Named {
		t.Errorf("got %v, want no limit once a later answer names none", w.limit)
	}
}

func TestNoticesOfLimits(t *testing.T) {
	l := NewLedger()
	var got []string
	l.Observe = func(n Notice) { got = append(got, n.Limit.String()) }
	for i, s := range []Signal{{}, limited(6), limited(6.1), limited(6.3), limited(8), {}, {}} {
		l.Heard(at(100*i+50), at(100*i), server, s, true)
	}
	want := []string{"6/s", "8/s", ""}
	if len(got) != len(want) || got[0] != want[0] || got[1] != want[1] || got[2] != want[2] {
		t.Errorf("got %q, want %q", got, want)
	}
}
