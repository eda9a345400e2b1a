package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// endsMost bounds the ends that are kept for each work, endsFirst of them the first.
	endsMost  = 8
	endsFirst = DefaultThreshold
	// newsWithin is how long news of an end may be under way. Ends later than that after a
	// work was condemned are those of trials.
	newsWithin = 4 * time.Second
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
		server InstanceID
		at     time.Time
		// cleared is set once the work has run well after it.
		cleared bool
	}

	// term is how long a condemned work is refused before a trial at one proxy, and the
	// time from there to the next proxy's: until most have heard what became of it.
	term struct {
		refused, step time.Duration
	}
)

// put adds an end and reports whether it is kept. Beyond those that are kept a cleared one
// goes, else the oldest after the first, by which the work was condemned. If that is the
// one added, nothing has changed: peers that still have it would else bring it back for
// ever.
func (r *record) put(e end) bool {
	r.ends = append(r.ends, e)
	if len(r.ends) <= endsMost {
		return true
	}
	slices.SortFunc(r.ends, func(a, b end) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.server, b.server)) })
	at := slices.IndexFunc(r.ends, func(e end) bool { return e.cleared })
	if at < 0 {
		at = endsFirst
	}
	dropped := r.ends[at]
	r.ends = slices.Delete(r.ends, at, at+1)
	return dropped.server != e.server
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

// has reports whether an end counts against the work.
func (r *record) has(s InstanceID) bool {
	return slices.ContainsFunc(r.ends, func(e end) bool { return e.server == s && !e.cleared })
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
