package shutdown

import (
	"encoding/json"
	"os"
	"testing"
	"time"
)

// millis is a time or duration in a script, in milliseconds. Times are relative to the start of the shutdown.
type millis int64

func (m millis) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Guards against a shutdown that interrupts a request which it has accepted although the time was short.
func TestPlanAdmits(t *testing.T) {
	data, err := os.ReadFile("testdata/admits.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name       string `json:"name"`
		Grace      millis `json:"grace-ms"`
		Received   millis `json:"received-ms"`
		Now        millis `json:"now-ms"`
		Expires    millis `json:"expires-ms"`
		Expected   millis `json:"expected-ms"`
		Repeatable bool   `json:"repeatable"`
		Want       bool   `json:"admitted"`
	}
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	for _, c := range cases {
		p := Plan{BegunAt: begun, Grace: c.Grace.duration()}
		got := p.Admits(begun.Add(c.Now.duration()), Request{
			ReceivedAt: begun.Add(c.Received.duration()), ExpiresAt: begun.Add(c.Expires.duration()), Expected: c.Expected.duration(), Repeatable: c.Repeatable,
		})
		if got != c.Want {
			t.Errorf("%s: admitted %t, want %t", c.Name, got, c.Want)
		}
	}
}

// Guards against a request that is interrupted although it was sent after the first half of the grace period,
// for whatever grace period, timeout and delay of the signal.
func TestLateRequestIsNeverInterrupted(t *testing.T) {
	begun := time.Now()
	for grace := time.Second; grace <= 20*time.Second; grace += 250 * time.Millisecond {
		p := Plan{BegunAt: begun, Grace: grace}
		if !p.AdmitUntil().Before(p.ListenUntil()) || p.ListenUntil().After(p.InterruptAt()) || !p.InterruptAt().Before(p.ExitAt()) || !p.ExitAt().Before(begun.Add(grace)) {
			t.Errorf("grace %s: the times of the plan are out of order", grace)
		}
		for _, signalledAt := range []time.Duration{0, -50 * time.Millisecond, -signalDelay} {
			half := begun.Add(signalledAt + min(grace/2, 3*time.Second))
			for received := begun; received.Before(p.ExitAt()); received = received.Add(50 * time.Millisecond) {
				for timeout := 200 * time.Millisecond; timeout <= 12*time.Second; timeout += 400 * time.Millisecond {
					r := Request{ReceivedAt: received, ExpiresAt: received.Add(timeout), Repeatable: true}
					interrupted := r.ExpiresAt.After(p.InterruptAt())
					if interrupted && received.After(half) && p.Admits(received, r) {
						t.Fatalf("grace %s, signal %s: a request with timeout %s that was received after %s is admitted", grace, signalledAt, timeout, received.Sub(begun))
					}
				}
			}
		}
	}
}

// Guards against a request that is interrupted while a good part of a short grace period is left.
func TestInterruptionIsInLastSixth(t *testing.T) {
	for grace := 100 * time.Millisecond; grace <= 20*time.Second; grace += 50 * time.Millisecond {
		p := Plan{BegunAt: time.Now(), Grace: grace}
		if got := p.InterruptAt().Sub(p.BegunAt); got < grace*5/6 {
			t.Errorf("grace %s: requests are interrupted after %s, want %s or more", grace, got, grace*5/6)
		}
	}
}

func TestMayClose(t *testing.T) {
	for _, c := range []struct {
		name       string
		connection Connection
		since      time.Duration
		want       bool
	}{
		{"idle", ConnectionIdle, 0, true},
		{"busy", ConnectionBusy, time.Minute, false},
		{"new, its request may be on the way", ConnectionNew, firstByteTimeout, false},
		{"new and silent", ConnectionNew, firstByteTimeout + time.Millisecond, true},
	} {
		if got := MayClose(c.connection, c.since); got != c.want {
			t.Errorf("%s: may be closed %t, want %t", c.name, got, c.want)
		}
	}
}
