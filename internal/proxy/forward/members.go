package forward

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerdrpc"
	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	// member is a proxy's own entry in the store.
	member struct {
		Name    string         `json:"name"`
		Domain  string         `json:"failure-domain"`
		Region  string         `json:"region"`
		Callers netip.AddrPort `json:"callers"`
		Peers   netip.AddrPort `json:"peers"`
		// Operators is where the command line asks.
		Operators netip.AddrPort `json:"operators"`
		// LinkMbps is how wide its link is, in Mbit/s; zero if not known.
		LinkMbps int  `json:"link-mbps,omitempty"`
		Leaving  bool `json:"leaving,omitempty"`
		// Held is what the proxy has learned of services whose servers slow down when
		// full. It outlives the process by its lease: proxies that have all lost power
		// need not learn it again while every queue is full.
		Held []steering.Held `json:"held,omitempty"`
		// Started tells the starts of a VM under one name apart: Unix milliseconds
		// of its own clock, zero from a proxy that does not tell.
		Started int64 `json:"started,omitempty"`
	}
)

// tellProxies takes in the changes of proxies' entries. It comes before the
// servers: a proxy that knew a cold server and no other proxy would send it all
// that it bears.
func (f *feed) tellProxies(changed []replica.Entry) {
	gone := false
	for _, e := range changed {
		if name, ok := strings.CutPrefix(e.Key, memberPrefix); ok {
			f.hearMember(name, e)
			f.unlisted = true
			gone = gone || e.Removed
		}
	}
	// When hundreds start, each hears of the others in hundreds of messages, and a list
	// for each was most of what starting took. So arrivals just after a list wait for the
	// next tick; one that is gone must not be named to callers until then.
	if f.unlisted && (gone || f.daemon.now().Sub(f.listedAt) >= tickEvery) {
		f.listProxies()
	}
}

// listLate brings a list to the kernel that has been put off.
func (f *feed) listLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unlisted {
		f.listProxies()
	}
}

func (f *feed) hearMember(name string, e replica.Entry) {
	f.changed++
	if e.Removed {
		delete(f.members, name)
		if name == f.daemon.settings.Name {
			f.writeSoon()
		}
		if e.Tentative {
			f.daemon.do(func(k *steering.Kernel, now time.Time) { k.DoubtProxies(now.Add(absentFor)) })
		}
		klog.InfoS("proxy gone", "proxy", name)
		return
	}
	m, err := f.decodeMember(name, e.Value)
	if err != nil {
		f.refused("proxy", name, err)
		delete(f.members, name)
		if name == f.daemon.settings.Name {
			f.writeSoon()
		}
		return
	}
	f.members[name] = m
	if len(m.Held) > 0 {
		f.daemon.do(func(k *steering.Kernel, now time.Time) { k.SetHolding(now, m.Held) })
	}
	klog.InfoS("proxy known", "proxy", name, "failure-domain", m.Domain)
}

// decodeMember reads a proxy's entry. Callers are sent to the address in it and
// limits are divided by the number of entries, so one that is not whole names no
// proxy.
func (f *feed) decodeMember(name string, data []byte) (member, error) {
	var m member
	if err := operator.CheckSyntax(data); err != nil {
		return m, err
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "entry")
	}
	if m.Name != name {
		return m, &operator.FieldError{Field: "name", Want: strconv.Quote(name) + ", as in the key", Got: strconv.Quote(m.Name)}
	}
	for field, address := range map[string]netip.AddrPort{"callers": m.Callers, "peers": m.Peers} {
		if !address.IsValid() || address.Port() == 0 {
			return m, &operator.FieldError{Field: field, Want: "an IP address and a port", Got: strconv.Quote(address.String())}
		}
	}
	return m, f.checkDomain(m.Domain, m.Region)
}

// listProxies brings the list of live proxies to the kernel.
func (f *feed) listProxies() {
	f.listedAt, f.unlisted = f.daemon.now(), false
	list := make([]steering.Proxy, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, steering.Proxy{Name: m.Name, Domain: m.Domain, Region: m.Region, Address: m.Callers, Leaving: m.Leaving})
	}
	f.daemon.do(func(k *steering.Kernel, now time.Time) { k.SetProxies(now, list) })
}

// hear takes in a proxy's own word: whether it leaves, and how fresh its copy is.
// What a process said before its VM started again may come after the new entry,
// and would have the new process leave for as long as it lives.
func (f *feed) hear(said peerdrpc.SyncMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := said.From
	m, known := f.members[name]
	if !known {
		return
	}
	if m.Region == f.daemon.settings.Region && replica.Fresh(said.Age) {
		f.nearAt = f.daemon.now()
	}
	sameStart := said.Started == 0 || said.Started == m.Started
	if said.Leaving && sameStart && !m.Leaving {
		m.Leaving = true
		f.members[name] = m
		f.changed++
		f.listProxies()
	}
}

// proxies lists the known proxies for operators.
func (f *feed) proxies() []steeringhttp.Proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]steeringhttp.Proxy, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, steeringhttp.Proxy{Name: m.Name, Domain: m.Domain, Region: m.Region, OperatorAddress: m.Operators, Leaving: m.Leaving})
	}
	slices.SortFunc(list, func(a, b steeringhttp.Proxy) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// peerOf is where other proxies reach one by its name.
func (f *feed) peerOf(name string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, known := f.members[name]
	return m.Peers, known
}

// candidates lists the proxies that match and do not leave.
func (f *feed) candidates(matches func(member) bool) []replica.Candidate {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []replica.Candidate
	for _, m := range f.members {
		if matches(m) && !m.Leaving {
			list = append(list, replica.Candidate{Name: m.Name, LinkMbps: m.LinkMbps})
		}
	}
	return list
}

// changes counts the changes of who is known and who leaves.
func (f *feed) changes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// rank is this proxy's place among those of its region. While none is known, as when
// a whole fleet starts, the seeds follow the store and tell the others; hundreds that
// each took themselves for the first made a call for each of the others' entries.
func (f *feed) rank() int {
	settings := f.daemon.settings
	list := f.candidates(func(m member) bool { return m.Region == settings.Region })
	if len(list) == 0 && len(settings.Seeds) > 0 && !slices.Contains(settings.Seeds, settings.Listen.Peers) {
		return replica.RelaysPerRegion
	}
	return replica.Rank(settings.Name, list)
}
