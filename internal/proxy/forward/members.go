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
	"github.com/gypsumquay/gypsumquay/internal/kernel/directory"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	// proxyEntry is the entry that each proxy writes to the store.
	proxyEntry struct {
		Name    string         `json:"name"`
		Domain  string         `json:"failure-domain"`
		Region  string         `json:"region"`
		Callers netip.AddrPort `json:"callers"`
		Peers   netip.AddrPort `json:"peers"`
		// Operators is the address of the operators' API, used by the command line.
		Operators netip.AddrPort `json:"operators"`
		// LinkMbps is the bandwidth of the VM's link, in Mbit/s; zero if unknown.
		LinkMbps int `json:"link-mbps,omitempty"`
		// Handovers is where the proxy takes requests from others; invalid if it takes none.
		Handovers netip.AddrPort `json:"handovers,omitzero"`
		// CutOff is set while the proxy is cut off from all servers.
		CutOff bool `json:"cut-off,omitempty"`
		// Overflow is the level at which lookups return further proxies beside this one.
		Overflow directory.Level `json:"overflow,omitempty"`
		Leaving  bool            `json:"leaving,omitempty"`
		// Held holds the concurrency limits learned for services whose servers slow down when
		// full. The entry outlives the process by its lease, so that proxies that have all lost
		// power need not learn them again while every queue is full.
		Held []steering.ServiceLimit `json:"held,omitempty"`
		// Started distinguishes the starts of a VM under one name: Unix milliseconds by its own
		// clock, zero if the proxy does not report it.
		Started int64 `json:"started,omitempty"`
	}
)

// dispatchProxies applies the changed entries of proxies. It must run before the servers' entries
// are applied: a proxy that knew a cold server but no other proxies would use the server's whole
// warm-up rate.
func (f *storeReplica) dispatchProxies(changed []replica.Entry) {
	removed := false
	for _, e := range changed {
		if name, ok := strings.CutPrefix(e.Key, proxyKeyPrefix); ok {
			f.dispatchProxyEntry(name, e)
			f.proxiesStale = true
			removed = removed || e.Removed
		}
	}
	// When hundreds of proxies start, each learns of the others in hundreds of messages, and
	// updating the kernel for each message was most of the cost of a start. So additions shortly
	// after an update wait for the next tick. Removals don't: a proxy that is gone must not be
	// returned to callers until then.
	if f.proxiesStale && (removed || f.daemon.now().Sub(f.proxiesSetAt) >= tickInterval) {
		f.setProxies()
	}
}

// flushProxies passes changes of the proxies that were deferred to the kernel. It also tells the
// kernel whether the list contains this proxy, and when it was last known to be current.
func (f *storeReplica) flushProxies() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.proxiesStale {
		f.setProxies()
	}
	_, listed := f.members[f.daemon.settings.Name]
	if listed != f.listed {
		f.listed = listed
		klog.InfoS("own entry in the list of proxies changed", "listed", listed, "revision", f.copy.Revision().String(), "age", f.copy.Age(f.daemon.now()))
	}
	confirmedAt := f.copy.ConfirmedAt()
	f.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.ConfirmListing(now, confirmedAt, listed) })
}

func (f *storeReplica) dispatchProxyEntry(name string, e replica.Entry) {
	f.membershipChanges++
	if e.Removed {
		delete(f.members, name)
		if name == f.daemon.settings.Name {
			f.requestRewrite()
		}
		if e.Tentative {
			f.daemon.withKernel(func(k *steering.Kernel, _ time.Time) { k.IgnoreMissingProxiesUntil(e.KeepUntil) })
		}
		if f.daemon.decisionLog.allowChange("proxy-removed") {
			klog.InfoS("proxy removed", "proxy", name)
		}
		return
	}
	m, err := f.decodeMember(name, e.Value)
	if err != nil {
		f.rejectEntry("proxy", name, err)
		delete(f.members, name)
		if name == f.daemon.settings.Name {
			f.requestRewrite()
		}
		return
	}
	f.members[name] = m
	if len(m.Held) > 0 {
		f.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.ApplyConcurrencyLimits(now, m.Held) })
	}
	if f.daemon.decisionLog.allowChange("proxy-registered") {
		klog.InfoS("proxy registered", "proxy", name, "failure-domain", m.Domain)
	}
}

// decodeMember decodes a proxy's entry. Callers are sent to its address and rate limits are
// divided by the number of entries, so an incomplete entry is rejected.
func (f *storeReplica) decodeMember(name string, data []byte) (proxyEntry, error) {
	var m proxyEntry
	if err := operator.CheckSyntax(data); err != nil {
		return m, err
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, errors.Wrap(err, "decode proxy entry")
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

// setProxies passes the list of live proxies to the kernel.
func (f *storeReplica) setProxies() {
	f.proxiesSetAt, f.proxiesStale = f.daemon.now(), false
	list := make([]steering.Proxy, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, steering.Proxy{
			Name: m.Name, Domain: m.Domain, Region: m.Region, Address: m.Callers, Leaving: m.Leaving, LinkMbps: m.LinkMbps, Overflow: m.Overflow,
			CutOff: m.CutOff, Handovers: m.Handovers,
		})
	}
	f.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.SetProxies(now, list) })
}

// handlePeerState applies what a peer reports of itself: whether it is leaving, and the age of its
// copy. A leaving message of an earlier start may arrive after the entry of the new one and must
// be ignored, or the new process would count as leaving for its lifetime.
func (f *storeReplica) handlePeerState(msg peerdrpc.SyncMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.copy.Revision() == 0 && msg.Revision > 0 {
		f.copyOfferedAt = f.daemon.now()
	}
	name := msg.From
	m, known := f.members[name]
	if !known {
		return
	}
	if m.Region == f.daemon.settings.Region && replica.Fresh(msg.Age) {
		f.peerFreshAt = f.daemon.now()
	}
	sameStart := msg.StartMillis == 0 || msg.StartMillis == m.Started
	if msg.Leaving && sameStart && !m.Leaving {
		m.Leaving = true
		f.members[name] = m
		f.membershipChanges++
		f.setProxies()
	}
}

// proxies lists the known proxies for the operators' API, by name.
func (f *storeReplica) proxies() []steeringhttp.Proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]steeringhttp.Proxy, 0, len(f.members))
	for _, m := range f.members {
		list = append(list, steeringhttp.Proxy{Name: m.Name, Domain: m.Domain, Region: m.Region, OperatorAddress: m.Operators, Leaving: m.Leaving, CutOff: m.CutOff, LinkMbps: m.LinkMbps, Overflow: int(m.Overflow)})
	}
	slices.SortFunc(list, func(a, b steeringhttp.Proxy) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// peerAddress returns the peer address of the proxy of a name.
func (f *storeReplica) peerAddress(name string) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, known := f.members[name]
	return m.Peers, known
}

// candidates lists the matching proxies that aren't leaving.
func (f *storeReplica) candidates(matches func(proxyEntry) bool) []replica.Candidate {
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

// membershipVersion changes whenever the set of known or of leaving proxies does.
func (f *storeReplica) membershipVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.membershipChanges
}
