package quarantine

import (
	"slices"
	"time"
)

const (
	// breakFor is how long a break may wait for a sign that its server has ended: until
	// the registration of a server that sends nothing has run out everywhere.
	breakFor = 10 * time.Second
	// breakWorksMost bounds the works noted for one server's end: more than it has
	// slots and queue for one proxy.
	breakWorksMost = 64
	// dialsMost is how often a silent server is dialled to learn whether it has ended.
	dialsMost = 2
)

type (
	// breaks are the servers at which exchanges broke and of which it is not known
	// whether they have ended. A cut connection, a spoilt answer or a partition
	// breaks exchanges as an end does, but the server answers others afterwards.
	breaks map[InstanceID]*broken

	broken struct {
		// at is when the last exchange broke.
		at    time.Time
		works []Fingerprint
		// answered is set once the server has answered a later request.
		answered bool
		dials    int
	}
)

func (b breaks) add(now time.Time, w Fingerprint, s InstanceID) {
	k := b[s]
	if k == nil || k.answered {
		k = &broken{}
		b[s] = k
	}
	k.at = now
	if len(k.works) < breakWorksMost && !slices.Contains(k.works, w) {
		k.works = append(k.works, w)
	}
}

func (b breaks) answered(s InstanceID, sent time.Time) {
	if k := b[s]; k != nil && sent.After(k.at) {
		k.answered = true
	}
}

func (b breaks) expire(now time.Time) {
	for s, k := range b {
		if now.Sub(k.at) > breakFor {
			delete(b, s)
		}
	}
}

// HasPendingLoss reports whether exchanges broke at a server of which it is not known yet whether
// it has ended.
func (l *Tracker) HasPendingLoss(s InstanceID) bool { return l.breaks[s] != nil }

// ServersToProbe lists the servers that should be dialled: exchanges broke there, and nothing
// was heard of them since.
func (l *Tracker) ServersToProbe() []InstanceID {
	l.doubtful = false
	var list []InstanceID
	for s, b := range l.breaks {
		if !b.answered && b.dials < dialsMost {
			b.dials++
			list = append(list, s)
		}
	}
	return list
}
