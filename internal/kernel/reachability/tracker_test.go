package reachability

import (
	"fmt"
	"testing"
	"time"
)

const step = 100 * time.Millisecond

// link plays a proxy's link to its servers in virtual time: each step has one attempt at one of the
// servers, and probes as the tracker asks for them.
type link struct {
	tracker Tracker
	now     time.Time
	attempt uint64
	changes int
}

func newLink() *link { return &link{now: time.Unix(1_000, 0)} }

// play plays a duration. attempts and probes tell whether servers respond to them.
func (l *link) play(duration time.Duration, attempts, probes bool) {
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(step) {
		l.attempt++
		server := fmt.Sprintf("s%d", l.attempt%3)
		l.tracker.RecordStart(l.now, l.attempt, server, step)
		if attempts {
			l.tracker.RecordResponse(l.now, l.attempt, server, false)
		} else {
			l.tracker.RecordFailure(l.now, l.attempt, server)
		}
		l.probe(probes)
	}
}

func (l *link) probe(responds bool) {
	if !l.tracker.BeginRound(l.now) {
		return
	}
	responded := 0
	if responds {
		responded = ProbeCount
	}
	if l.tracker.EndRound(l.now, responded, ProbeCount) {
		l.changes++
	}
}

func (l *link) expect(t *testing.T, what string, want bool) {
	t.Helper()
	if got := l.tracker.CutOff(); got != want {
		t.Errorf("%s: got cut off %t, want %t", what, got, want)
	}
}

func TestProxyWithoutConnectionsIsCutOff(t *testing.T) {
	l := newLink()
	l.play(2*time.Second, true, true)
	l.expect(t, "connected", false)
	l.play(500*time.Millisecond, false, false)
	l.expect(t, "half a second after the cut", true)
	l.play(10*time.Second, false, false)
	l.expect(t, "during the cut", true)
	l.play(1500*time.Millisecond, true, true)
	l.expect(t, "after the cut", false)
}

// A proxy with few requests must notice a cut before each of them has waited for its deadline.
func TestSilenceOfOverdueRequestsIsNoticed(t *testing.T) {
	l := newLink()
	l.play(time.Second, true, true)
	l.tracker.RecordStart(l.now, 101, "s1", step)
	l.tracker.RecordStart(l.now, 102, "s2", step)
	l.now = l.now.Add(overdueFactor*step + overdueMargin + time.Millisecond)
	l.probe(false)
	l.expect(t, "two overdue requests", true)
}

// Servers that fail by themselves must not make a proxy consider itself cut off.
func TestFailedServersAreNoCut(t *testing.T) {
	l := newLink()
	l.play(5*time.Second, false, true)
	l.expect(t, "other servers respond to probes", false)
}

// A slow server must not make a proxy probe others.
func TestSingleSilentServerIsNotSuspicious(t *testing.T) {
	l := newLink()
	l.tracker.RecordStart(l.now, 1, "s1", step)
	l.now = l.now.Add(time.Minute)
	l.tracker.RecordFailure(l.now, 2, "s1")
	if l.tracker.BeginRound(l.now) {
		t.Error("got a round of probes after the silence of one server, want none")
	}
}

// New connections may be refused while existing ones still work.
func TestRefusedNewConnectionsAreACut(t *testing.T) {
	l := newLink()
	for range 12 {
		l.play(step, true, false)
		l.attempt++
		l.tracker.RecordFailure(l.now, l.attempt, "s8")
		l.tracker.RecordFailure(l.now, l.attempt, "s9")
	}
	l.expect(t, "new connections refused", true)
}

// Probes of a proxy whose servers are slow to respond may all time out while requests are served.
func TestResponsesOnNewConnectionsAreNoCut(t *testing.T) {
	l := newLink()
	for range 40 {
		l.tracker.RecordFailure(l.now, 0, "s8")
		l.tracker.RecordFailure(l.now, 0, "s9")
		if l.tracker.BeginRound(l.now) {
			l.now = l.now.Add(step)
			l.tracker.RecordResponse(l.now, 0, "s1", true)
			l.tracker.EndRound(l.now, 0, ProbeCount)
		}
		l.now = l.now.Add(step)
	}
	l.expect(t, "probes time out, new connections work", false)
}

// A link that works every other second must not be used again each time.
func TestFlappingLinkIsNotUsed(t *testing.T) {
	l := newLink()
	for range 60 {
		l.play(time.Second, false, false)
		l.play(time.Second, true, true)
	}
	if l.changes > 8 {
		t.Errorf("got %d changes in 120 s, want at most 8", l.changes)
	}
}

func TestNoServersAreNoCut(t *testing.T) {
	l := newLink()
	l.tracker.RecordFailure(l.now, 1, "s1")
	l.tracker.RecordFailure(l.now, 2, "s2")
	if !l.tracker.BeginRound(l.now) {
		t.Fatal("got no round of probes after two failures, want one")
	}
	l.tracker.EndRound(l.now, 0, 0)
	l.expect(t, "no server known", false)
}
