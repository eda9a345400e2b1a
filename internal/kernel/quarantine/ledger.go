package quarantine

import (
	"cmp"
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
	// likelierTimes is how many times the ends of a work that never ran well one that
	// did may have and still be explained by it. Beyond, it ends servers whatever it did
	// before: a new version of the servers may have made it so.
	likelierTimes = 2
	// endsMost bounds the ends that are kept for each work, endsFirst of them the first.
	endsMost  = 8
	endsFirst = EndsToCondemn
	// worksMost bounds the works that are kept; a failure domain that is lost makes
	// thousands, nearly all with one end.
	worksMost    = 512
	worksDropped = worksMost / 4
	// newsWithin is how long news of an end may be under way. Ends later than that after a
	// work was condemned are those of trials.
	newsWithin = 4 * time.Second
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

var (
	// terms come one after the other, each after a trial that has ended a server. Sound
	// work that was condemned in a storm of ends runs again within seconds, or all who ask
	// for what is asked for most would be refused by all proxies, and nothing could clear
	// it. Work that ends servers gets three trials within a day, as many as the operators
	// allow.
	terms = []term{{2 * time.Second, 4 * time.Second}, {5 * time.Minute, 15 * time.Second}, {time.Hour, time.Minute}, {24 * time.Hour, time.Minute}}
)

type (
	// Ruling is what may be done with a work.
	Ruling uint8

	// term is how long a condemned work is refused before a trial at one proxy, and the
	// time from there to the next proxy's: until most have heard what became of it.
	term struct {
		refused, step time.Duration
	}

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

	// record is what is known of a work. Ends are only added, and Cleared only set,
	// so that records of different proxies merge to the same in any order.
	record struct {
		ends []end
		// changed is when an end was added or cleared, here.
		changed time.Time
		// ranWell is set if the work is known to have run well, before or after.
		ranWell bool
		// told is what was last told of the work: how many ends count.
		told int
	}

	// end is a server's end with the work there.
	end struct {
		server Server
		at     time.Time
		// cleared is set once the work has run well after it.
		cleared bool
	}
)

// NewLedger makes a ledger that knows nothing.
func NewLedger() *Ledger {
	return &Ledger{
		Condemn: EndsToCondemn,
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

// Rule says whether a work may run now. rank is this proxy's place among all in the
// order of trials. For a condemned work, it tells how long it is refused.
func (l *Ledger) Rule(now time.Time, w Work, rank int) (Ruling, time.Duration) {
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
		if left := last.Add(t.refused + time.Duration(rank)*t.step).Sub(now); left > 0 {
			return Condemned, left
		}
	}
	if l.runs.now[w] > 0 {
		return Busy, 0
	}
	return Suspected, 0
}

// term is the present term of a condemned work, from its last end on. It follows from the
// ends alone, so that all proxies that know the same ends reckon with the same.
func (r *record) term(condemn int) (last time.Time, t term) {
	at := r.moments()
	condemned := at[min(condemn, len(at))-1]
	trials := 0
	for _, moment := range at {
		if moment.Sub(condemned) > newsWithin {
			trials++
		}
	}
	return at[len(at)-1], terms[min(trials, len(terms)-1)]
}

// moments are those of the ends that count, in order.
func (r *record) moments() []time.Time {
	var list []time.Time
	for _, e := range r.ends {
		if !e.cleared {
			list = append(list, e.at)
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// open counts the ends since the work last ran well.
func (r *record) open() (n int) {
	for _, e := range r.ends {
		if !e.cleared {
			n++
		}
	}
	return n
}

// weight counts the ends that speak against a work: those since it last ran well that
// no likelier work explains. A work that ends servers takes dozens of sound requests with
// it each time, and the most asked-for of them are there again and again.
func (l *Ledger) weight(w Work, r *record) int {
	all := r.open()
	if all < endsToSuspect {
		return all
	}
	n := 0
	for _, e := range r.ends {
		if !e.cleared && !l.explained(w, r, e.server) {
			n++
		}
	}
	return n
}

// explained reports whether a likelier work was there at an end.
func (l *Ledger) explained(w Work, r *record, s Server) bool {
	return slices.ContainsFunc(l.suspects, func(o Work) bool {
		other := l.works[o]
		return o != w && l.likelier(other, r) && other.has(s)
	})
}

// likelier reports whether a suspected work has rather ended servers than another one.
// One that has never run well comes before one that has: where all servers end within a
// moment, what is asked for most was there at each end, and nothing runs well after it.
// Else the one with more ends comes first, if it is condemned.
func (l *Ledger) likelier(a, than *record) bool {
	n, other := a.open(), than.open()
	if a.ranWell != than.ranWell {
		return than.ranWell && n*likelierTimes >= other
	}
	return n >= l.Condemn && n > other
}

// has reports whether an end counts against the work.
func (r *record) has(s Server) bool {
	return slices.ContainsFunc(r.ends, func(e end) bool { return e.server == s && !e.cleared })
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

// put adds an end and reports whether it is kept. Beyond those that are kept the oldest
// after the first goes, by which the work was condemned. If that is the one added, nothing
// has changed: peers that still have it would else bring it back for ever.
func (r *record) put(e end) bool {
	r.ends = append(r.ends, e)
	if len(r.ends) <= endsMost {
		return true
	}
	slices.SortFunc(r.ends, func(a, b end) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.server, b.server)) })
	dropped := r.ends[endsFirst]
	r.ends = slices.Delete(r.ends, endsFirst, endsFirst+1)
	return dropped.server != e.server
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
