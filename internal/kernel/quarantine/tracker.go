package quarantine

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// suspectThreshold is the number of crashes from which a proxy runs at most one request with a
	// fingerprint at a time and does not retry it, so that a crash is detected before the next run.
	suspectThreshold = 2
	// DefaultThreshold is the number of crashes from which a fingerprint is quarantined: the number
	// of servers that operators allow one request to crash.
	DefaultThreshold = 3
	// MaxConnectionLosses is the number of lost connections after which a request is no longer
	// retried. Whether those servers crashed is known only some time later.
	MaxConnectionLosses = 2
	// MaxRetryAfter bounds the retry delay given to the caller of a quarantined request.
	MaxRetryAfter = time.Minute
	// maxRecords bounds the tracked fingerprints. The loss of a failure domain adds thousands,
	// nearly all with one crash.
	maxRecords    = 512
	evictionBatch = maxRecords / 4
	// recordTTL is how long a record is kept after its last change or, in quarantine, after its
	// period.
	recordTTL = time.Hour
)

const (
	// Clear requests run without restrictions.
	Clear Status = iota
	// Suspected requests were in flight at several crashes. They may run one at a time.
	Suspected
	// Busy requests are suspected, and one with the same fingerprint is running at this proxy.
	Busy
	// Quarantined requests must not run.
	Quarantined
)

const (
	// EventServerCrashed reports a server crash and the requests that were in flight there.
	EventServerCrashed EventType = "server-ended"
	// EventSuspected reports a fingerprint that was in flight at more than one server crash.
	EventSuspected EventType = "work-suspected"
	// EventQuarantined reports a fingerprint that is rejected from now on.
	EventQuarantined EventType = "work-condemned"
	// EventCleared reports a fingerprint that succeeded after it had been in flight at several
	// crashes.
	EventCleared EventType = "work-cleared"
)

type (
	// Status is whether a request may run.
	Status uint8

	// EventType is the kind of an Event.
	EventType string

	// Event describes a change that operators should know about.
	Event struct {
		Type        EventType
		Fingerprint Fingerprint
		// Crashes counts the crashes attributed to the fingerprint since it last succeeded.
		Crashes int
		// Server is the crashed server, Fingerprints are the requests that were in flight there.
		Server       InstanceID
		Fingerprints []Fingerprint
	}

	// InstanceID identifies one run of a server process. A restarted server has another one.
	InstanceID uint64

	// Tracker holds what one proxy knows about request fingerprints and server crashes. It is not
	// safe for concurrent use. Its times are those of the caller's monotonic clock.
	Tracker struct {
		// Threshold is the number of crashes from which a fingerprint is quarantined.
		Threshold int
		// TrialRank returns the rank of this proxy in the order in which proxies try a quarantined
		// fingerprint again, from 0. It is called for quarantined fingerprints only.
		TrialRank func(Fingerprint) int
		// OnEvent is called for each event.
		OnEvent func(Event)

		records map[Fingerprint]*record
		losses  pendingLosses
		history runHistory
		// suspects holds the fingerprints with at least suspectThreshold uncleared crashes, whether
		// or not another fingerprint explains those.
		suspects []Fingerprint
		// urgent is set by changes that peers should learn of immediately.
		urgent bool
		// probeNeeded is set by connection losses and reset by ServersToProbe.
		probeNeeded bool
	}
)

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{
		Threshold: DefaultThreshold,
		TrialRank: func(Fingerprint) int { return 0 },
		OnEvent:   func(Event) {},
		records:   make(map[Fingerprint]*record), losses: make(pendingLosses), history: newRunHistory(),
	}
}

// NewInstanceID returns the identifier of a server run. It is the same on all proxies.
func NewInstanceID(id string, started time.Time) InstanceID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	if !started.IsZero() {
		_, _ = hash.Write(strconv.AppendInt([]byte{0}, started.UnixMilli(), 10))
	}
	return InstanceID(hash.Sum64())
}

// Status reports whether a request may run now. For a quarantined one it also returns how long it
// remains quarantined.
func (t *Tracker) Status(now time.Time, fp Fingerprint) (Status, time.Duration) {
	r := t.records[fp]
	if r == nil {
		return Clear, 0
	}
	crashes := t.attributedCrashes(fp, r)
	if crashes < suspectThreshold {
		return Clear, 0
	}
	if crashes >= t.Threshold {
		lastCrash, period := r.period(t.Threshold)
		if remaining := lastCrash.Add(period.duration + time.Duration(t.TrialRank(fp))*period.rankDelay).Sub(now); remaining > 0 {
			return Quarantined, remaining
		}
	}
	if t.history.running[fp] > 0 {
		return Busy, 0
	}
	return Suspected, 0
}

// RecordStart records that a request is sent to a server.
func (t *Tracker) RecordStart(fp Fingerprint) { t.history.running[fp]++ }

// RecordStop records that an exchange has ended, whatever the outcome.
func (t *Tracker) RecordStop(fp Fingerprint) {
	if t.history.running[fp]--; t.history.running[fp] <= 0 {
		delete(t.history.running, fp)
	}
}

// RecordSuccess records that a request with the fingerprint got a successful response. This clears
// the fingerprint of all crashes recorded so far.
func (t *Tracker) RecordSuccess(now time.Time, fp Fingerprint) {
	if fp.IsEmpty() {
		return
	}
	t.history.recordSuccess(now, fp)
	r := t.records[fp]
	if r == nil || r.uncleared() == 0 {
		return
	}
	r.succeeded, r.announced = true, 0
	suspected := r.uncleared() >= suspectThreshold
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
	t.markChanged(now, fp, r)
	if suspected {
		t.urgent = true
		t.OnEvent(Event{Type: EventCleared, Fingerprint: fp})
	}
}

// RecordConnectionLoss records that the connection was lost while a server was processing a
// request. Whether the server has crashed is not known yet.
func (t *Tracker) RecordConnectionLoss(now time.Time, fp Fingerprint, server InstanceID) {
	if !fp.IsEmpty() {
		t.losses.add(now, fp, server)
		t.probeNeeded = true
	}
}

// RecordResponse records a response to a request that was sent at sentAt: connection losses before
// that time were not caused by a crash.
func (t *Tracker) RecordResponse(server InstanceID, sentAt time.Time) {
	t.losses.recordResponse(server, sentAt)
}

// RecordServerGone records evidence that a server has crashed: its address refuses connections, or
// its registration expired. Requests whose connections to it were lost were in flight at the crash.
func (t *Tracker) RecordServerGone(now time.Time, server InstanceID) {
	if loss := t.losses[server]; loss != nil && !loss.responded {
		t.attributeCrash(now, server, loss)
	}
}

// RecordServerRestart records that a server has restarted under the same ID. Responses since the
// connection loss may have come from the new run, so they are no evidence against a crash.
func (t *Tracker) RecordServerRestart(now time.Time, server InstanceID) {
	if loss := t.losses[server]; loss != nil {
		t.attributeCrash(now, server, loss)
	}
}

func (t *Tracker) attributeCrash(now time.Time, server InstanceID, loss *pendingLoss) {
	delete(t.losses, server)
	if now.Sub(loss.lastLoss) > lossTTL {
		return
	}
	t.OnEvent(Event{Type: EventServerCrashed, Server: server, Fingerprints: loss.fingerprints})
	for _, fp := range loss.fingerprints {
		if t.history.succeededSince(fp, loss.lastLoss) {
			continue
		}
		if t.addCrash(now, fp, crash{server: server, at: loss.lastLoss}) {
			t.urgent = true
		}
	}
}

// addCrash adds a crash to the record of a fingerprint and reports whether it changed what counts
// for or against the fingerprint.
func (t *Tracker) addCrash(now time.Time, fp Fingerprint, c crash) bool {
	r := t.records[fp]
	if r == nil {
		t.evict()
		r = &record{succeeded: t.history.hasSucceeded(fp)}
		t.records[fp] = r
	}
	i := slices.IndexFunc(r.crashes, func(known crash) bool { return known.server == c.server })
	switch {
	case i < 0:
		if !r.insert(c) {
			return false
		}
	case c.cleared && !r.crashes[i].cleared:
		r.crashes[i].cleared = true
	default:
		if c.at.Before(r.crashes[i].at) {
			r.crashes[i].at = c.at
		}
		return false
	}
	t.markChanged(now, fp, r)
	return true
}

func (t *Tracker) markChanged(now time.Time, fp Fingerprint, r *record) {
	r.changedAt = now
	i := slices.Index(t.suspects, fp)
	switch reached := r.uncleared() >= suspectThreshold; {
	case reached && i < 0:
		t.suspects = append(t.suspects, fp)
	case !reached && i >= 0:
		t.suspects = slices.Delete(t.suspects, i, i+1)
	}
}

// emitEvents reports fingerprints that became suspected or quarantined since its last call. It runs
// some time after the crashes, when the other requests in flight there are known too.
func (t *Tracker) emitEvents() {
	for _, fp := range t.suspects {
		r := t.records[fp]
		crashes := t.attributedCrashes(fp, r)
		switch {
		case crashes >= t.Threshold && r.announced < t.Threshold:
			t.OnEvent(Event{Type: EventQuarantined, Fingerprint: fp, Crashes: crashes})
		case crashes == suspectThreshold && r.announced < crashes:
			t.OnEvent(Event{Type: EventSuspected, Fingerprint: fp, Crashes: crashes})
		}
		r.announced = crashes
	}
}

// evict removes the least significant records if there are too many: those with the fewest crashes,
// the least recently changed first. It removes several at once, because the loss of a region adds
// thousands within a second.
func (t *Tracker) evict() {
	if len(t.records) < maxRecords {
		return
	}
	fingerprints := slices.Collect(maps.Keys(t.records))
	t.sortBySeverity(fingerprints)
	for _, fp := range fingerprints[maxRecords-evictionBatch:] {
		t.remove(fp)
	}
}

func (t *Tracker) remove(fp Fingerprint) {
	delete(t.records, fp)
	t.suspects = slices.DeleteFunc(t.suspects, func(suspect Fingerprint) bool { return suspect == fp })
}

// Tick emits pending events and removes expired connection losses and records.
func (t *Tracker) Tick(now time.Time) {
	t.losses.expire(now)
	t.emitEvents()
	for fp, r := range t.records {
		expiryStart := r.changedAt
		if r.uncleared() >= t.Threshold {
			lastCrash, period := r.period(t.Threshold)
			expiryStart = lastCrash.Add(period.duration)
		}
		if now.Sub(expiryStart) > recordTTL {
			t.remove(fp)
		}
	}
}
