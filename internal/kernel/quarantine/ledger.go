package quarantine

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"
)

const (
	// endsToSuspect is from how many ends on a work runs once at a time at each proxy
	// and is not sent again: what it ends then is found out before the next run.
	endsToSuspect = 2
	// DefaultThreshold is the operators' bound on the servers that one work may end.
	DefaultThreshold = 3
	// MaxConnectionLosses is after how many broken exchanges a request is not sent again: whether
	// those servers have ended is known only some time later.
	MaxConnectionLosses = 2
	// MaxRetryAfter bounds the time that a caller of refused work is told to stay away.
	MaxRetryAfter = time.Minute
	// worksMost bounds the works that are kept; a failure domain that is lost makes
	// thousands, nearly all with one end.
	worksMost    = 512
	worksDropped = worksMost / 4
	// keepFor is how long ends count that nothing was added to.
	keepFor = time.Hour
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

		works  map[Fingerprint]*record
		breaks breaks
		runs   runs
		// suspects are the works with enough ends to be suspected, explained or not.
		suspects []Fingerprint
		// urgent is set by news that other proxies should hear at once.
		urgent bool
		// doubtful is set by breaks at servers that have not been dialled since.
		doubtful bool
	}
)

// NewTracker makes a ledger that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{
		Threshold: DefaultThreshold,
		TrialRank: func(Fingerprint) int { return 0 },
		OnEvent:   func(Event) {},
		works:     make(map[Fingerprint]*record), breaks: make(breaks), runs: newRuns(),
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
func (l *Tracker) Status(now time.Time, w Fingerprint) (Status, time.Duration) {
	r := l.works[w]
	if r == nil {
		return Clear, 0
	}
	n := l.weight(w, r)
	if n < endsToSuspect {
		return Clear, 0
	}
	if n >= l.Threshold {
		last, t := r.term(l.Threshold)
		if left := last.Add(t.refused + time.Duration(l.TrialRank(w))*t.step).Sub(now); left > 0 {
			return Quarantined, left
		}
	}
	if l.runs.now[w] > 0 {
		return Busy, 0
	}
	return Suspected, 0
}

// RecordStart notes that a work is sent to a server.
func (l *Tracker) RecordStart(w Fingerprint) { l.runs.now[w]++ }

// RecordStop notes that the exchange has ended, however.
func (l *Tracker) RecordStop(w Fingerprint) {
	if l.runs.now[w]--; l.runs.now[w] <= 0 {
		delete(l.runs.now, w)
	}
}

// RecordSuccess notes that a server answered a work: none of the ends so far was its doing.
func (l *Tracker) RecordSuccess(now time.Time, w Fingerprint) {
	if w.IsEmpty() {
		return
	}
	l.runs.well(now, w)
	r := l.works[w]
	if r == nil || r.open() == 0 {
		return
	}
	r.ranWell, r.told = true, 0
	suspected := r.open() >= endsToSuspect
	for i := range r.ends {
		r.ends[i].cleared = true
	}
	l.hasChanged(now, w, r)
	if suspected {
		l.urgent = true
		l.OnEvent(Event{Type: EventCleared, Fingerprint: w})
	}
}

// RecordConnectionLoss notes that an exchange broke while a server had the work. Whether the server
// has ended is not known yet.
func (l *Tracker) RecordConnectionLoss(now time.Time, w Fingerprint, s InstanceID) {
	if !w.IsEmpty() {
		l.breaks.add(now, w, s)
		l.doubtful = true
	}
}

// RecordResponse notes an answer to a request that was sent to a server at a moment: it has
// not ended before.
func (l *Tracker) RecordResponse(s InstanceID, sent time.Time) { l.breaks.answered(s, sent) }

// RecordServerGone notes a sign that a server is gone: nothing listens where it was, or its
// registration ran out. The works whose exchanges broke there were there at its end.
func (l *Tracker) RecordServerGone(now time.Time, s InstanceID) {
	if b := l.breaks[s]; b != nil && !b.answered {
		l.charge(now, s, b)
	}
}

// RecordServerRestart notes that a server has started again under its id, so that answers of
// the later start may have been taken for the earlier one's.
func (l *Tracker) RecordServerRestart(now time.Time, s InstanceID) {
	if b := l.breaks[s]; b != nil {
		l.charge(now, s, b)
	}
}

func (l *Tracker) charge(now time.Time, s InstanceID, b *broken) {
	delete(l.breaks, s)
	if now.Sub(b.at) > breakFor {
		return
	}
	l.OnEvent(Event{Type: EventServerCrashed, Server: s, Fingerprints: b.works})
	for _, w := range b.works {
		if l.runs.wellSince(w, b.at) {
			continue
		}
		if l.add(now, w, end{server: s, at: b.at}) {
			l.urgent = true
		}
	}
}

// add takes an end into a work's record and reports whether that tells anything new
// against or for the work.
func (l *Tracker) add(now time.Time, w Fingerprint, e end) bool {
	r := l.works[w]
	if r == nil {
		l.makeRoom()
		r = &record{ranWell: l.runs.known(w)}
		l.works[w] = r
	}
	i := slices.IndexFunc(r.ends, func(known end) bool { return known.server == e.server })
	switch {
	case i < 0:
		if !r.put(e) {
			return false
		}
	case e.cleared && !r.ends[i].cleared:
		r.ends[i].cleared = true
	default:
		if e.at.Before(r.ends[i].at) {
			r.ends[i].at = e.at
		}
		return false
	}
	l.hasChanged(now, w, r)
	return true
}

func (l *Tracker) hasChanged(now time.Time, w Fingerprint, r *record) {
	r.changed = now
	i := slices.Index(l.suspects, w)
	switch enough := r.open() >= endsToSuspect; {
	case enough && i < 0:
		l.suspects = append(l.suspects, w)
	case !enough && i >= 0:
		l.suspects = slices.Delete(l.suspects, i, i+1)
	}
}

// announce tells of works that are suspected or condemned since it last did. It comes
// some time after the ends, when those of other works at the same servers are known too.
func (l *Tracker) announce() {
	for _, w := range l.suspects {
		r := l.works[w]
		n := l.weight(w, r)
		switch {
		case n >= l.Threshold && r.told < l.Threshold:
			l.OnEvent(Event{Type: EventQuarantined, Fingerprint: w, Crashes: n})
		case n == endsToSuspect && r.told < n:
			l.OnEvent(Event{Type: EventSuspected, Fingerprint: w, Crashes: n})
		}
		r.told = n
	}
}

// makeRoom drops some of the works that matter least if there are too many: those with
// the fewest ends, of them those that changed first. Several go at once: a region that is
// lost brings thousands within a second.
func (l *Tracker) makeRoom() {
	if len(l.works) < worksMost {
		return
	}
	list := slices.Collect(maps.Keys(l.works))
	l.weightiestFirst(list)
	for _, w := range list[worksMost-worksDropped:] {
		l.drop(w)
	}
}

func (l *Tracker) drop(w Fingerprint) {
	delete(l.works, w)
	l.suspects = slices.DeleteFunc(l.suspects, func(c Fingerprint) bool { return c == w })
}

// Tick drops what no longer counts.
func (l *Tracker) Tick(now time.Time) {
	l.breaks.expire(now)
	l.announce()
	for w, r := range l.works {
		last := r.changed
		if r.open() >= l.Threshold {
			end, t := r.term(l.Threshold)
			last = end.Add(t.refused)
		}
		if now.Sub(last) > keepFor {
			l.drop(w)
		}
	}
}
