// Package reachability detects that a proxy is cut off from all backend servers although its
// callers, its peers and the store still reach it.
package reachability

import (
	"time"
)

const (
	// ProbeCount is how many servers are probed at once, each in another failure domain if there
	// are that many.
	ProbeCount = 4

	// minSilentServers is the number of servers without a response from which the others are
	// probed: a single server may have failed by itself.
	minSilentServers = 2
	// failureWindow is how long a failed attempt counts, unless the server responds again. Few
	// requests are sent to servers that have failed, so the failures must not expire before others
	// are added.
	failureWindow = 10 * time.Second
	// silenceTimeout is how long no server at all must have responded before overdue requests
	// count as failed.
	silenceTimeout = 300 * time.Millisecond
	// overdueFactor and overdueMargin give the time after which a request is overdue, from the
	// time that it was expected to take.
	overdueFactor = 2
	overdueMargin = 250 * time.Millisecond
	// probeInterval is the pause between two rounds of probes. clearInterval is the pause after a
	// round in which a server responded.
	probeInterval = 400 * time.Millisecond
	clearInterval = 2 * time.Second
	// maxFailures bounds the servers whose failures are remembered.
	maxFailures = 64
	// roundsToReconnect is the number of consecutive successful rounds of probes after which the
	// proxy counts as connected again. Each cut within relapseWindow after the last one doubles it,
	// up to maxRoundsToReconnect, so that a flapping link is not used.
	roundsToReconnect    = 2
	maxRoundsToReconnect = 16
	relapseWindow        = 30 * time.Second
)

type (
	// Tracker holds the evidence of one proxy. It is not safe for concurrent use. The zero value is
	// ready to use and is connected.
	Tracker struct {
		// failedAt is when the last attempt at a server failed without a response.
		failedAt map[string]time.Time
		// pending holds the attempts without a response yet, by number.
		pending     map[uint64]pendingAttempt
		respondedAt time.Time
		// connectedAt is when a server last responded on a new connection.
		connectedAt time.Time

		cutOff    bool
		changedAt time.Time
		// probing is set while a round of probes, begun at roundStartedAt, has not ended.
		probing        bool
		roundStartedAt time.Time
		nextRoundAt    time.Time
		// failedRounds and passedRounds count consecutive rounds.
		failedRounds, passedRounds int
		// lastRoundResponded is set if a server responded in the last round.
		lastRoundResponded bool
		// roundsNeeded is the number of successful rounds that end the cut.
		roundsNeeded int
	}

	pendingAttempt struct {
		server  string
		overdue time.Time
	}
)

// CutOff reports whether no server can be reached.
func (t *Tracker) CutOff() bool { return t.cutOff }

// ChangedAt returns when the result of CutOff last changed.
func (t *Tracker) ChangedAt() time.Time { return t.changedAt }

// RespondsSince reports whether a server has responded since the given time.
func (t *Tracker) RespondsSince(at time.Time) bool { return t.respondedAt.After(at) }

// LastRoundResponded reports whether any server responded to the last probes.
func (t *Tracker) LastRoundResponded() bool { return t.lastRoundResponded }

// RecordStart records that an attempt at a server begins.
func (t *Tracker) RecordStart(now time.Time, attempt uint64, server string, expected time.Duration) {
	if t.pending == nil {
		t.pending = make(map[uint64]pendingAttempt)
	}
	t.pending[attempt] = pendingAttempt{server: server, overdue: now.Add(overdueFactor*expected + overdueMargin)}
}

// RecordResponse records that an attempt ended with a response, on a new connection or one that was
// open before.
func (t *Tracker) RecordResponse(now time.Time, attempt uint64, server string, newConnection bool) {
	if newConnection {
		t.connectedAt = now
	}
	delete(t.pending, attempt)
	delete(t.failedAt, server)
	t.respondedAt = now
}

// RecordFailure records that an attempt failed without a response.
func (t *Tracker) RecordFailure(now time.Time, attempt uint64, server string) {
	delete(t.pending, attempt)
	if t.failedAt == nil {
		t.failedAt = make(map[string]time.Time)
	}
	if len(t.failedAt) >= maxFailures {
		t.dropOldFailures(now)
	}
	if len(t.failedAt) < maxFailures {
		t.failedAt[server] = now
	}
}

// RecordEnd records that an attempt ended in a way that says nothing about the server.
func (t *Tracker) RecordEnd(attempt uint64) { delete(t.pending, attempt) }

// BeginRound reports whether servers must be probed now. The result must be passed to EndRound.
func (t *Tracker) BeginRound(now time.Time) bool {
	if t.probing || now.Before(t.nextRoundAt) || !t.cutOff && t.failedRounds == 0 && !t.suspected(now) {
		return false
	}
	t.probing, t.roundStartedAt = true, now
	return true
}

// EndRound records how many of the probed servers responded, and reports whether the result of
// CutOff has changed.
func (t *Tracker) EndRound(now time.Time, responded, probed int) bool {
	t.probing, t.nextRoundAt, t.lastRoundResponded = false, now.Add(probeInterval), responded > 0
	if t.cutOff {
		return t.endRoundWhileCutOff(now, responded, probed)
	}
	if responded > 0 || probed == 0 || t.connectedAt.After(t.roundStartedAt) {
		t.failedRounds, t.nextRoundAt = 0, now.Add(clearInterval)
		clear(t.failedAt)
		return false
	}
	t.failedRounds++
	if t.RespondsSince(t.roundStartedAt) && t.failedRounds < 2 {
		// Servers responded on connections that were already open. Only new ones may fail.
		return false
	}
	t.roundsNeeded = t.nextRoundsNeeded(now)
	t.cutOff, t.changedAt, t.failedRounds, t.passedRounds = true, now, 0, 0
	return true
}

func (t *Tracker) endRoundWhileCutOff(now time.Time, responded, probed int) bool {
	if 2*responded <= probed {
		t.passedRounds = 0
		return false
	}
	t.passedRounds++
	if t.passedRounds < t.roundsNeeded {
		return false
	}
	t.cutOff, t.changedAt = false, now
	clear(t.failedAt)
	return true
}

// nextRoundsNeeded returns the number of successful rounds that will end a cut that begins now.
func (t *Tracker) nextRoundsNeeded(now time.Time) int {
	if t.roundsNeeded == 0 || now.Sub(t.changedAt) > relapseWindow {
		return roundsToReconnect
	}
	return min(2*t.roundsNeeded, maxRoundsToReconnect)
}

// suspected reports whether enough servers did not respond that the others must be probed.
func (t *Tracker) suspected(now time.Time) bool {
	t.dropOldFailures(now)
	if len(t.failedAt) >= minSilentServers {
		return true
	}
	if len(t.pending) == 0 || now.Sub(t.respondedAt) < silenceTimeout {
		return false
	}
	silent := make(map[string]bool, len(t.failedAt))
	for server := range t.failedAt {
		silent[server] = true
	}
	for _, a := range t.pending {
		if now.After(a.overdue) {
			silent[a.server] = true
		}
	}
	return len(silent) >= minSilentServers
}

func (t *Tracker) dropOldFailures(now time.Time) {
	for server, at := range t.failedAt {
		if now.Sub(at) >= failureWindow {
			delete(t.failedAt, server)
		}
	}
}
