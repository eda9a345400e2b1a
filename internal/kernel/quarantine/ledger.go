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
	// EndsToCondemn is the operators' bound on the servers that one work may end.
	EndsToCondemn = 3
	// BreaksMost is after how many broken exchanges a request is not sent again: whether
	// those servers have ended is known only some time later.
	BreaksMost = 2
	// AwayMost bounds the time that a caller of refused work is told to stay away.
	AwayMost = time.Minute
	// worksMost bounds the works that are kept; a failure domain that is lost makes
	// thousands, nearly all with one end.
	worksMost    = 512
	worksDropped = worksMost / 4
	// keepFor is how long ends count that nothing was added to.
	keepFor = time.Hour
)

const (
	// Clear works run as any other.
	Clear Ruling = iota
	// Suspected works were there at the ends of servers, and may run once at a time.
	Suspected
	// Busy works are suspected and running at this proxy.
	Busy
	// Condemned works must not run.
	Condemned
)

const (
	// ChangeEnded tells of a server that has ended, and of the works that were there.
	ChangeEnded Change = "server-ended"
	// ChangeSuspected tells of a work that was there at the ends of more than one server.
	ChangeSuspected Change = "work-suspected"
	// ChangeCondemned tells of a work that is refused from now on.
	ChangeCondemned Change = "work-condemned"
	// ChangeCleared tells of a work that ran well after servers had ended with it.
	ChangeCleared Change = "work-cleared"
)

type (
	// Ruling is what may be done with a work.
	Ruling uint8

	// Change names what has become of a work.
	Change string

	// Notice tells of a change.
	Notice struct {
		Change Change
		Work   Work
		// Ends counts those since the work last ran well.
		Ends int
		// Server is the one that ended, with Works there.
		Server Server
		Works  []Work
	}

	// Server names one start of a server.
	Server uint64

	// Ledger is what one proxy knows of works and the ends of servers. It is not safe
	// for use by several goroutines at once. Its moments are of the caller's steady
	// clock.
	Ledger struct {
		// Condemn is from how many ends on a work is refused.
		Condemn int
		// Rank is this proxy's place among all in the order of a work's trials. It is
		// asked for condemned work only.
		Rank func(Work) int
		// Observe is told of changes.
		Observe func(Notice)

		works  map[Work]*record
		breaks breaks
		runs   runs
		// suspects are the works with enough ends to be suspected, explained or not.
		suspects []Work
		// urgent is set by news that other proxies should hear at once.
		urgent bool
		// doubtful is set by breaks at servers that have not been dialled since.
		doubtful bool
	}
)

// NewLedger makes a ledger that knows nothing.
func NewLedger() *Ledger {
	return &Ledger{
		Condemn: EndsToCondemn,
		Rank:    func(Work) int { return 0 },
		Observe: func(Notice) {},
		works:   make(map[Work]*record), breaks: make(breaks), runs: newRuns(),
	}
}

// ServerOf names a start of a server, the same at all proxies.
func ServerOf(id string, started time.Time) Server {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	if !started.IsZero() {
		_, _ = hash.Write(strconv.AppendInt([]byte{0}, started.UnixMilli(), 10))
	}
	return Server(hash.Sum64())
}

// Rule says whether a work may run now. For a condemned work, it tells how long it is
// refused.
func (l *Ledger) Rule(now time.Time, w Work) (Ruling, time.Duration) {
	r := l.works[w]
	if r == nil {
		return Clear, 0
	}
	n := l.weight(w, r)
	if n < endsToSuspect {
		return Clear, 0
	}
	if n >= l.Condemn {
		last, t := r.term(l.Condemn)
		if left := last.Add(t.refused + time.Duration(l.Rank(w))*t.step).Sub(now); left > 0 {
			return Condemned, left
		}
	}
	if l.runs.now[w] > 0 {
		return Busy, 0
	}
	return Suspected, 0
}

// Started notes that a work is sent to a server.
func (l *Ledger) Started(w Work) { l.runs.now[w]++ }

// Stopped notes that the exchange has ended, however.
func (l *Ledger) Stopped(w Work) {
	if l.runs.now[w]--; l.runs.now[w] <= 0 {
		delete(l.runs.now, w)
	}
}

// RanWell notes that a server answered a work: none of the ends so far was its doing.
func (l *Ledger) RanWell(now time.Time, w Work) {
	if w.None() {
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
		l.Observe(Notice{Change: ChangeCleared, Work: w})
	}
}

// Broke notes that an exchange broke while a server had the work. Whether the server
// has ended is not known yet.
func (l *Ledger) Broke(now time.Time, w Work, s Server) {
	if !w.None() {
		l.breaks.add(now, w, s)
		l.doubtful = true
	}
}

// Answered notes an answer to a request that was sent to a server at a moment: it has
// not ended before.
func (l *Ledger) Answered(s Server, sent time.Time) { l.breaks.answered(s, sent) }

// HasEnded notes a sign that a server is gone: nothing listens where it was, or its
// registration ran out. The works whose exchanges broke there were there at its end.
func (l *Ledger) HasEnded(now time.Time, s Server) {
	if b := l.breaks[s]; b != nil && !b.answered {
		l.charge(now, s, b)
	}
}

// HasRestarted notes that a server has started again under its id, so that answers of
// the later start may have been taken for the earlier one's.
func (l *Ledger) HasRestarted(now time.Time, s Server) {
	if b := l.breaks[s]; b != nil {
		l.charge(now, s, b)
	}
}

func (l *Ledger) charge(now time.Time, s Server, b *broken) {
	delete(l.breaks, s)
	if now.Sub(b.at) > breakFor {
		return
	}
	l.Observe(Notice{Change: ChangeEnded, Server: s, Works: b.works})
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
func (l *Ledger) add(now time.Time, w Work, e end) bool {
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

func (l *Ledger) hasChanged(now time.Time, w Work, r *record) {
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
func (l *Ledger) announce() {
	for _, w := range l.suspects {
		r := l.works[w]
		n := l.weight(w, r)
		switch {
		case n >= l.Condemn && r.told < l.Condemn:
			l.Observe(Notice{Change: ChangeCondemned, Work: w, Ends: n})
		case n == endsToSuspect && r.told < n:
			l.Observe(Notice{Change: ChangeSuspected, Work: w, Ends: n})
		}
		r.told = n
	}
}

// makeRoom drops some of the works that matter least if there are too many: those with
// the fewest ends, of them those that changed first. Several go at once: a region that is
// lost brings thousands within a second.
func (l *Ledger) makeRoom() {
	if len(l.works) < worksMost {
		return
	}
	list := slices.Collect(maps.Keys(l.works))
	l.weightiestFirst(list)
	for _, w := range list[worksMost-worksDropped:] {
		l.drop(w)
	}
}

func (l *Ledger) drop(w Work) {
	delete(l.works, w)
	l.suspects = slices.DeleteFunc(l.suspects, func(c Work) bool { return c == w })
}

// Tick drops what no longer counts.
func (l *Ledger) Tick(now time.Time) {
	l.breaks.expire(now)
	l.announce()
	for w, r := range l.works {
		last := r.changed
		if r.open() >= l.Condemn {
			end, t := r.term(l.Condemn)
			last = end.Add(t.refused)
		}
		if now.Sub(last) > keepFor {
			l.drop(w)
		}
	}
}
