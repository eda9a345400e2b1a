package quarantine

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// suspectThreshold is from how many ends on a work runs once at a time at each proxy
	// and is not sent again: what it ends then is found out before the next run.
	suspectThreshold = 2
	// DefaultThreshold is the operators' bound on the servers that one work may end.
	DefaultThreshold = 3
	// MaxConnectionLosses is after how many broken exchanges a request is not sent again: whether
	// those servers have ended is known only some time later.
	MaxConnectionLosses = 2
	// MaxRetryAfter bounds the time that a caller of refused work is told to stay away.
	MaxRetryAfter = time.Minute
	// maxRecords bounds the works that are kept; a failure domain that is lost makes
	// thousands, nearly all with one end.
	maxRecords    = 512
	evictionBatch = maxRecords / 4
	// recordTTL is how long ends count that nothing was added to.
	recordTTL = time.Hour
)

const (
	// Clear works run as any other.
	Clear Status = iota
	// Suspected works were there at the ends of servers, and may run once at a time.
	Suspected
	// Busy works are suspected and running at this proxy.
	Busy
	// Quarantined works must not run.
	Quarantined
)

const (
	// EventServerCrashed tells of a server that has ended, and of the works that were there.
	EventServerCrashed EventType = "server-ended"
	// EventSuspected tells of a work that was there at the ends of more than one server.
	EventSuspected EventType = "work-suspected"
	// EventQuarantined tells of a work that is refused from now on.
	EventQuarantined EventType = "work-condemned"
	// EventCleared tells of a work that ran well after servers had ended with it.
	EventCleared EventType = "work-cleared"
)

type (
	// Status is what may be done with a work.
	Status uint8

	// EventType names what has become of a work.
	EventType string

	// Event tells of a change.
	Event struct {
		Type        EventType
		Fingerprint Fingerprint
		// Crashes counts those since the work last ran well.
		Crashes int
		// Server is the one that ended, with Works there.
		Server       InstanceID
		Fingerprints []Fingerprint
	}

	// InstanceID names one start of a server.
	InstanceID uint64

	// Tracker is what one proxy knows of works and the ends of servers. It is not safe
	// for use by several goroutines at once. Its moments are of the caller's steady
	// clock.
	Tracker struct {
		// Threshold is from how many ends on a work is refused.
		Threshold int
		// TrialRank is this proxy's place among all in the order of a work's trials. It is
		// asked for condemned work only.
		TrialRank func(Fingerprint) int
		// OnEvent is told of changes.
		OnEvent func(Event)

		records map[Fingerprint]*record
		losses  pendingLosses
		history runHistory
		// suspects are the works with enough ends to be suspected, explained or not.
		suspects []Fingerprint
		// urgent is set by news that other proxies should hear at once.
		urgent bool
		// probeNeeded is set by breaks at servers that have not been dialled since.
		probeNeeded bool
	}
)

// NewTracker makes a ledger that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{
		Threshold: DefaultThreshold,
		TrialRank: func(Fingerprint) int { return 0 },
		OnEvent:   func(Event) {},
		records:   make(map[Fingerprint]*record), losses: make(pendingLosses), history: newRunHistory(),
	}
}

// NewInstanceID names a start of a server, the same at all proxies.
func NewInstanceID(id string, started time.Time) InstanceID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	if !started.IsZero() {
		_, _ = hash.Write(strconv.AppendInt([]byte{0}, started.UnixMilli(), 10))
	}
	return InstanceID(hash.Sum64())
}

// Status says whether a work may run now. For a condemned work, it tells how long it is
// refused.
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
		if left := lastCrash.Add(period.duration + time.Duration(t.TrialRank(fp))*period.rankDelay).Sub(now); left > 0 {
			return Quarantined, left
		}
	}
	if t.history.running[fp] > 0 {
		return Busy, 0
	}
	return Suspected, 0
}

// RecordStart notes that a work is sent to a server.
func (t *Tracker) RecordStart(fp Fingerprint) { t.history.running[fp]++ }

// RecordStop notes that the exchange has ended, however.
func (t *Tracker) RecordStop(fp Fingerprint) {
	if t.history.running[fp]--; t.history.running[fp] <= 0 {
		delete(t.history.running, fp)
	}
}

// RecordSuccess notes that a server answered a work: none of the ends so far was its doing.
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

// RecordConnectionLoss notes that an exchange broke while a server had the work. Whether the server
// has ended is not known yet.
func (t *Tracker) RecordConnectionLoss(now time.Time, fp Fingerprint, server InstanceID) {
	if !fp.IsEmpty() {
		t.losses.add(now, fp, server)
		t.probeNeeded = true
	}
}

// RecordResponse notes an answer to a request that was sent to a server at a moment: it has
// not ended before.
func (t *Tracker) RecordResponse(server InstanceID, sentAt time.Time) {
	t.losses.recordResponse(server, sentAt)
}

// RecordServerGone notes a sign that a server is gone: nothing listens where it was, or its
// registration ran out. The works whose exchanges broke there were there at its end.
func (t *Tracker) RecordServerGone(now time.Time, server InstanceID) {
	if loss := t.losses[server]; loss != nil && !loss.answered {
		t.attributeCrash(now, server, loss)
	}
}

// RecordServerRestart notes that a server has started again under its id, so that answers of
// the later start may have been taken for the earlier one's.
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

// addCrash takes an end into a work's record and reports whether that tells anything new
// against or for the work.
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

// emitEvents tells of works that are suspected or condemned since it last did. It comes
// some time after the ends, when those of other works at the same servers are known too.
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

// evict drops some of the works that matter least if there are too many: those with
// the fewest ends, of them those that changed first. Several go at once: a region that is
// lost brings thousands within a second.
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

// Tick drops what no longer counts.
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
