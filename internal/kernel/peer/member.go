package peer

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
)

const (
	// StateLive proxies take requests.
	StateLive MemberState = iota + 1
	// StateLeaving proxies finish what they have and are left out of look-ups.
	StateLeaving
	// StateGone proxies have stopped as planned; Successor holds their records.
	StateGone
	// StateSuspect proxies did not answer; they may refute it.
	StateSuspect
	// StateJoining proxies have no quota of their own yet. Callers sent there would
	// only be refused, so look-ups do not name them.
	StateJoining
)

const (
	// suspicionThreshold failed exchanges in a row make a member suspect.
	suspicionThreshold = 2
	// suspicionTimeout is how long a suspect may refute before it is left out of
	// every look-up and its address is no longer tried for exchanges.
	suspicionTimeout = 3 * time.Second
	// memberTTL removes a member that nobody has heard of. It must exceed
	// the life of tokens, whose minter must stay known to be believed.
	memberTTL = 2 * time.Hour
)

var (
	stateNames = map[MemberState]string{StateLive: "live", StateLeaving: "leaving", StateGone: "gone", StateSuspect: "suspect", StateJoining: "joining"}
)

type (
	// MemberState is where a proxy is in its life.
	MemberState uint8

	// Member is one proxy's record. Only its own process raises Sequence,
	// except that a suspicion copies it; the higher sequence wins.
	Member struct {
		Name            string         `json:"name"`
		Address         netip.AddrPort `json:"address"`
		PeerAddress     netip.AddrPort `json:"peer-address"`
		OperatorAddress netip.AddrPort `json:"operator-address"`
		Region          string         `json:"region"`
		Domain          string         `json:"failure-domain"`
		Incarnation     uint64         `json:"incarnation"`
		Sequence        uint64         `json:"sequence"`
		State           MemberState    `json:"state"`
		Successor       string         `json:"successor,omitempty"`
		// CapacityBundle is the bundle whose capacities this proxy goes by. It changes
		// with those only: a record that changed with every bundle would cost
		// each proxy a message for each other one, each time.
		CapacityBundle uint64 `json:"capacity-bundle"`
	}

	memberEntry struct {
		Member
		changedAt time.Time
		failures  int
	}

	plannedStop struct {
		successor string
		learnedAt time.Time
	}

	// Members is one proxy's view of all proxies.
	Members struct {
		self        string
		entries     map[string]*memberEntry
		digest      uint64
		lastChanged time.Time
		// plannedStops keeps the successors of incarnations that stopped as
		// planned, for a restarted proxy reuses its name.
		plannedStops map[caller.Minter]plannedStop
		sortedNames  []string
	}
)

// String is the state's name.
func (s MemberState) String() string { return stateNames[s] }

// MarshalText writes the state's name.
func (s MemberState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the state's name.
func (s *MemberState) UnmarshalText(text []byte) error {
	for state, name := range stateNames {
		if name == string(text) {
			*s = state
		}
	}
	return nil
}

// Minter is the member as a minter of tokens.
func (m *Member) Minter() caller.Minter {
	return caller.Minter{Name: m.Name, Incarnation: m.Incarnation}
}

// supersedes reports whether m is newer news than old: a later incarnation,
// a later sequence of it, or a suspicion about the same sequence.
func (m *Member) supersedes(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Sequence != old.Sequence {
		return m.Sequence > old.Sequence
	}
	return m.State == StateSuspect && old.State != StateSuspect && old.State != StateGone
}

// NewMembers starts a view that knows only its own process.
func NewMembers(self Member, now time.Time) *Members {
	m := &Members{
		self:         self.Name,
		entries:      make(map[string]*memberEntry),
		plannedStops: make(map[caller.Minter]plannedStop),
	}
	m.Merge(self, now)
	return m
}

// Self is the own record.
func (m *Members) Self() Member { return m.entries[m.self].Member }

// UpdateSelf changes the own record and raises its sequence.
func (m *Members) UpdateSelf(now time.Time, change func(*Member)) {
	own := m.entries[m.self].Member
	change(&own)
	own.Sequence++
	m.store(own, now)
}

// Merge takes in a record and reports whether it was news. A suspicion about
// the own process is refuted at once by a higher sequence.
func (m *Members) Merge(update Member, now time.Time) bool {
	old := m.entries[update.Name]
	if update.Name == m.self && old != nil {
		if update.Incarnation == old.Incarnation && update.State == StateSuspect && old.Sequence <= update.Sequence {
			m.entries[m.self].Sequence = update.Sequence
			m.UpdateSelf(now, func(*Member) {})
			return true
		}
		return false
	}
	if update.State == StateGone && update.Successor != "" {
		m.plannedStops[update.Minter()] = plannedStop{successor: update.Successor, learnedAt: now}
	}
	if old != nil && !update.supersedes(&old.Member) {
		return false
	}
	m.store(update, now)
	return true
}

func (m *Members) store(update Member, now time.Time) {
	entry := m.entries[update.Name]
	if entry == nil {
		entry = &memberEntry{}
		m.entries[update.Name] = entry
		m.sortedNames = append(m.sortedNames, update.Name)
		sort.Strings(m.sortedNames)
	} else {
		m.digest ^= entry.hash()
	}
	if entry.Incarnation != update.Incarnation || update.State != StateSuspect {
		entry.failures = 0
	}
	entry.Member = update
	entry.changedAt = now
	m.lastChanged = now
	m.digest ^= update.hash()
}

// Len counts the records.
func (m *Members) Len() int { return len(m.entries) }

// LastChanged is when a record last changed.
func (m *Members) LastChanged() time.Time { return m.lastChanged }

// Digest sums the view up, so that two proxies see whether theirs are alike
// without sending them.
func (m *Members) Digest() uint64 { return m.digest }

func (m *Member) hash() uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:8], m.Incarnation)
	binary.LittleEndian.PutUint64(b[8:16], m.Sequence)
	b[16] = byte(m.State)
	h := xxhash.New()
	_, _ = h.WriteString(m.Name)
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// Get finds a member by name.
func (m *Members) Get(name string) (Member, bool) {
	k, ok := m.entries[name]
	if !ok {
		return Member{}, false
	}
	return k.Member, true
}

// All lists every record in name order.
func (m *Members) All() []Member {
	list := make([]Member, 0, len(m.sortedNames))
	for _, name := range m.sortedNames {
		list = append(list, m.entries[name].Member)
	}
	return list
}

// RecentlyChanged lists up to limit records that changed last, and not before since.
// An exchange carries only these; a differing digest asks for the rest.
func (m *Members) RecentlyChanged(limit int, since time.Time) []Member {
	if m.lastChanged.Before(since) {
		return nil
	}
	var list []*memberEntry
	for _, name := range m.sortedNames {
		if k := m.entries[name]; !k.changedAt.Before(since) {
			list = append(list, k)
		}
	}
	slices.SortStableFunc(list, func(a, b *memberEntry) int { return b.changedAt.Compare(a.changedAt) })
	var recent []Member
	for _, k := range list[:min(limit, len(list))] {
		recent = append(recent, k.Member)
	}
	return recent
}

// RecordFailure counts an exchange that got no answer, and reports whether the
// member has just become suspect.
func (m *Members) RecordFailure(name string, now time.Time) bool {
	k := m.entries[name]
	if k == nil || name == m.self {
		return false
	}
	k.failures++
	if k.failures < suspicionThreshold || k.State == StateSuspect || k.State == StateGone {
		return false
	}
	update := k.Member
	update.State = StateSuspect
	m.store(update, now)
	return true
}

// RecordSuccess notes that a member is reachable from here.
func (m *Members) RecordSuccess(name string) {
	if k := m.entries[name]; k != nil {
		k.failures = 0
	}
}

// Serving lists members that callers may be sent to: the live ones. The own
// process counts as live whatever others suspect.
func (m *Members) Serving() []Member {
	var list []Member
	for _, name := range m.sortedNames {
		k := m.entries[name]
		switch {
		case k.State == StateLive:
			list = append(list, k.Member)
		case k.State == StateSuspect && name == m.self:
			list = append(list, k.Member)
		}
	}
	return list
}

// Reachable lists peers worth an exchange: not the own process, not gone,
// and not suspect for long unless nobody else is left.
func (m *Members) Reachable(now time.Time) []Member {
	var list, suspects []Member
	for _, name := range m.sortedNames {
		k := m.entries[name]
		switch {
		case name == m.self || k.State == StateGone:
		case k.State == StateSuspect && now.Sub(k.changedAt) > suspicionTimeout:
			suspects = append(suspects, k.Member)
		default:
			list = append(list, k.Member)
		}
	}
	if len(list) == 0 {
		return suspects
	}
	return list
}

// TokenOwner finds who decides over a minter's tokens now: the minter itself while
// its incarnation is a member, or whoever took its records over.
func (m *Members) TokenOwner(minter caller.Minter) (Member, bool) {
	for range len(m.entries) + 1 {
		if k := m.entries[minter.Name]; k != nil && k.Incarnation == minter.Incarnation && k.State != StateGone {
			return k.Member, true
		}
		stop, ok := m.plannedStops[minter]
		if !ok {
			return Member{}, false
		}
		next := m.entries[stop.successor]
		if next == nil {
			return Member{}, false
		}
		if next.State != StateGone {
			return next.Member, true
		}
		minter = next.Minter()
	}
	return Member{}, false
}

// Expire drops records that nobody has renewed for long, and incarnations that
// left so long ago that none of their tokens can still be asked for.
func (m *Members) Expire(now time.Time) {
	for minter, stop := range m.plannedStops {
		if now.Sub(stop.learnedAt) >= memberTTL {
			delete(m.plannedStops, minter)
		}
	}
	for _, name := range slices.Clone(m.sortedNames) {
		k := m.entries[name]
		if name == m.self || now.Sub(k.changedAt) < memberTTL || k.State == StateLive {
			continue
		}
		m.digest ^= k.hash()
		delete(m.entries, name)
		m.sortedNames = slices.DeleteFunc(m.sortedNames, func(n string) bool { return n == name })
	}
}

// RendezvousRank ranks candidates by highest hash with a key, so that the loss of
// one moves only what was on it.
func RendezvousRank(key string, names []string) []string {
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b string) int {
		ha := xxhash.Sum64String(key + "/" + a)
		hb := xxhash.Sum64String(key + "/" + b)
		switch {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		}
		return strings.Compare(a, b)
	})
	return ranked
}
