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
	// StateLive is the state of a proxy that accepts requests.
	StateLive MemberState = iota + 1
	// StateLeaving is the state of a proxy that only finishes its current requests. Lookups do not
	// return it.
	StateLeaving
	// StateGone is the state of a proxy that has shut down gracefully. Its Successor holds its
	// token records.
	StateGone
	// StateSuspect is the state of a proxy that did not respond. The proxy may refute the
	// suspicion.
	StateSuspect
	// StateJoining is the state of a proxy that has no quota yet. It would only reject requests, so
	// lookups do not return it.
	StateJoining
)

const (
	// suspicionThreshold is the number of consecutive failed exchanges after which a member is
	// suspected.
	suspicionThreshold = 2
	// suspicionTimeout is how long a suspected member can refute the suspicion before its address
	// is no longer tried for exchanges.
	suspicionTimeout = 3 * time.Second
	// memberTTL is the time without updates after which a member that is not live is removed. It
	// must exceed the lifetime of tokens, because a token is trusted only while its minter is
	// known.
	memberTTL = 2 * time.Hour
)

var (
	stateNames = map[MemberState]string{StateLive: "live", StateLeaving: "leaving", StateGone: "gone", StateSuspect: "suspect", StateJoining: "joining"}
)

type (
	// MemberState is the lifecycle state of a proxy.
	MemberState uint8

	// Member is the membership record of a proxy. Only the proxy itself increments Sequence, and
	// the record with the higher sequence wins. A suspicion keeps the sequence of the record that
	// it replaces.
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
		// CapacityBundle is the version of the bundle whose capacities the proxy uses. It changes
		// only if the capacities do: otherwise each new bundle would change every record and cost
		// each proxy a message per other proxy.
		CapacityBundle uint64 `json:"capacity-bundle"`
	}

	memberEntry struct {
		Member
		changedAt time.Time
		failures  int
	}

	gracefulShutdown struct {
		successor string
		learnedAt time.Time
	}

	// Members is a proxy's view of the membership of all proxies.
	Members struct {
		self        string
		entries     map[string]*memberEntry
		digest      uint64
		lastChanged time.Time
		// gracefulShutdowns holds the successors of incarnations that shut down gracefully. They
		// are kept apart from the entries because a restarted proxy reuses its name.
		gracefulShutdowns map[caller.Minter]gracefulShutdown
		sortedNames       []string
	}
)

// String returns the state's name.
func (s MemberState) String() string { return stateNames[s] }

// MarshalText returns the state's name.
func (s MemberState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the state's name. An unknown name leaves the state unchanged.
func (s *MemberState) UnmarshalText(text []byte) error {
	for state, name := range stateNames {
		if name == string(text) {
			*s = state
		}
	}
	return nil
}

// Minter returns the member's identity as a minter of tokens.
func (m *Member) Minter() caller.Minter {
	return caller.Minter{Name: m.Name, Incarnation: m.Incarnation}
}

// supersedes reports whether m is newer than old: it has a later incarnation, a later sequence of
// the same incarnation, or is a suspicion with the same sequence.
func (m *Member) supersedes(old *Member) bool {
	if m.Incarnation != old.Incarnation {
		return m.Incarnation > old.Incarnation
	}
	if m.Sequence != old.Sequence {
		return m.Sequence > old.Sequence
	}
	return m.State == StateSuspect && old.State != StateSuspect && old.State != StateGone
}

// NewMembers returns a view that contains only this proxy.
func NewMembers(self Member, now time.Time) *Members {
	m := &Members{
		self:              self.Name,
		entries:           make(map[string]*memberEntry),
		gracefulShutdowns: make(map[caller.Minter]gracefulShutdown),
	}
	m.Merge(self, now)
	return m
}

// Self returns the record of this proxy.
func (m *Members) Self() Member { return m.entries[m.self].Member }

// UpdateSelf changes the record of this proxy and increments its sequence.
func (m *Members) UpdateSelf(now time.Time, change func(*Member)) {
	own := m.entries[m.self].Member
	change(&own)
	own.Sequence++
	m.store(own, now)
}

// Merge merges a received record into the view and reports whether it changed the view. A suspicion
// of this proxy is refuted immediately by a higher sequence.
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
		m.gracefulShutdowns[update.Minter()] = gracefulShutdown{successor: update.Successor, learnedAt: now}
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

// Len returns the number of records.
func (m *Members) Len() int { return len(m.entries) }

// LastChanged returns the time of the last change to a record.
func (m *Members) LastChanged() time.Time { return m.lastChanged }

// Digest returns a hash of the view, so that two proxies can compare their views without sending
// them.
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

// Get returns the member with a name.
func (m *Members) Get(name string) (Member, bool) {
	entry, ok := m.entries[name]
	if !ok {
		return Member{}, false
	}
	return entry.Member, true
}

// All returns all records in order of name.
func (m *Members) All() []Member {
	list := make([]Member, 0, len(m.sortedNames))
	for _, name := range m.sortedNames {
		list = append(list, m.entries[name].Member)
	}
	return list
}

// RecentlyChanged returns up to limit records that changed at or after since, most recent first. An
// exchange carries only these records; a proxy whose digest differs requests the rest.
func (m *Members) RecentlyChanged(limit int, since time.Time) []Member {
	if m.lastChanged.Before(since) {
		return nil
	}
	var list []*memberEntry
	for _, name := range m.sortedNames {
		if entry := m.entries[name]; !entry.changedAt.Before(since) {
			list = append(list, entry)
		}
	}
	slices.SortStableFunc(list, func(a, b *memberEntry) int { return b.changedAt.Compare(a.changedAt) })
	var recent []Member
	for _, entry := range list[:min(limit, len(list))] {
		recent = append(recent, entry.Member)
	}
	return recent
}

// RecordFailure counts an exchange without a reply and reports whether the member has become
// suspect because of it.
func (m *Members) RecordFailure(name string, now time.Time) bool {
	entry := m.entries[name]
	if entry == nil || name == m.self {
		return false
	}
	entry.failures++
	if entry.failures < suspicionThreshold || entry.State == StateSuspect || entry.State == StateGone {
		return false
	}
	update := entry.Member
	update.State = StateSuspect
	m.store(update, now)
	return true
}

// RecordSuccess resets the failure count of a member that replied.
func (m *Members) RecordSuccess(name string) {
	if entry := m.entries[name]; entry != nil {
		entry.failures = 0
	}
}

// Serving returns the live members, to which callers may be directed. This proxy counts as live
// even if others suspect it.
func (m *Members) Serving() []Member {
	var list []Member
	for _, name := range m.sortedNames {
		entry := m.entries[name]
		switch {
		case entry.State == StateLive:
			list = append(list, entry.Member)
		case entry.State == StateSuspect && name == m.self:
			list = append(list, entry.Member)
		}
	}
	return list
}

// Reachable returns the peers to exchange with: all but this proxy, those that have stopped, and
// those suspected for longer than suspicionTimeout. If there are no others, it returns these
// suspects.
func (m *Members) Reachable(now time.Time) []Member {
	var list, suspects []Member
	for _, name := range m.sortedNames {
		entry := m.entries[name]
		switch {
		case name == m.self || entry.State == StateGone:
		case entry.State == StateSuspect && now.Sub(entry.changedAt) > suspicionTimeout:
			suspects = append(suspects, entry.Member)
		default:
			list = append(list, entry.Member)
		}
	}
	if len(list) == 0 {
		return suspects
	}
	return list
}

// TokenOwner returns the member that decides about a minter's tokens: the minter itself while its
// incarnation is a member, or the last successor that took over its records.
func (m *Members) TokenOwner(minter caller.Minter) (Member, bool) {
	for range len(m.entries) + 1 {
		if entry := m.entries[minter.Name]; entry != nil && entry.Incarnation == minter.Incarnation && entry.State != StateGone {
			return entry.Member, true
		}
		stop, ok := m.gracefulShutdowns[minter]
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

// Expire removes records of members that are not live and have not changed for memberTTL, and
// graceful shutdowns so long ago that none of the minter's tokens can still be valid.
func (m *Members) Expire(now time.Time) {
	for minter, stop := range m.gracefulShutdowns {
		if now.Sub(stop.learnedAt) >= memberTTL {
			delete(m.gracefulShutdowns, minter)
		}
	}
	for _, name := range slices.Clone(m.sortedNames) {
		entry := m.entries[name]
		if name == m.self || now.Sub(entry.changedAt) < memberTTL || entry.State == StateLive {
			continue
		}
		m.digest ^= entry.hash()
		delete(m.entries, name)
		m.sortedNames = slices.DeleteFunc(m.sortedNames, func(n string) bool { return n == name })
	}
}

// RendezvousRank ranks names by rendezvous hashing (highest random weight) with a key, so that the
// loss of one name moves only the keys that were assigned to it.
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
