package forward

import (
	"encoding/json"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerdrpc"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// The entry of the only proxy of a region is removed. After a store outage, the entry may have
// expired while the proxy still serves and will be restored: moving its callers' objects to other
// regions and back would run them cold twice. Otherwise the proxy is gone.
func TestTentativelyRemovedProxyKeepsItsRegionServed(t *testing.T) {
	f := newFleet(t, 1)
	for _, tentative := range []bool{false, true} {
		settings := *f.daemons[0].settings
		settings.RegionOf = map[string]string{"a": "north", "b": "south"}
		d, err := New(&settings, f.daemons[0].deps)
		if err != nil {
			t.Fatal(err)
		}
		entry := remoteEntry(t, func(*proxyEntry) {})
		d.replica.apply("peer", replica.Delta{Revision: 1, Full: true, Entries: []replica.Entry{{Key: proxyKeyPrefix + "far", Value: entry, Revision: 1}}})
		d.replica.apply("peer", replica.Delta{Base: 1, Revision: 2, Entries: []replica.Entry{{Key: proxyKeyPrefix + "far", Revision: 2, Removed: true, Tentative: tentative}}})
		var stranded []string
		d.withKernel(func(k *steering.Kernel, now time.Time) {
			// The proxy has just started: it trusts the list after two seconds, and counts the
			// region as one without proxies a second later.
			for after := time.Duration(0); after <= 3100*time.Millisecond; after += 100 * time.Millisecond {
				k.Tick(now.Add(after))
			}
			stranded = k.Status(now).RegionsWithoutProxies
		})
		if got := slices.Contains(stranded, "south"); got == tentative {
			t.Errorf("entry removed, tentative %t: the region counts as one without proxies %t", tentative, got)
		}
	}
}

// While a fleet is upgraded, proxies of two versions read each other's entries. A field that one of
// them doesn't know must not make it reject the entry: it would count the proxy as gone.
func TestEntriesOfOtherVersionsAreRead(t *testing.T) {
	d := newTwoRegionDaemon(t)
	var fields map[string]any
	if err := json.Unmarshal(remoteEntry(t, func(m *proxyEntry) { m.LinkMbps, m.Overflow = 10, 1 }), &fields); err != nil {
		t.Fatal(err)
	}
	delete(fields, "overflow")
	fields["field-of-a-later-version"] = map[string]any{"level": 3}
	data, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	m, err := d.replica.decodeMember("far", data)
	if err != nil || m.LinkMbps != 10 || m.Overflow != 0 {
		t.Errorf("got %+v, %v, want a link of 10 Mbit/s and no overflow level", m, err)
	}
}

// newTwoRegionDaemon creates a daemon that isn't run and knows two regions.
func newTwoRegionDaemon(t *testing.T) *Daemon {
	t.Helper()
	f := newFleet(t, 1)
	settings := *f.daemons[0].settings
	settings.RegionOf = map[string]string{"a": "north", "b": "south"}
	d, err := New(&settings, f.daemons[0].deps)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func remoteEntry(t *testing.T, change func(*proxyEntry)) []byte {
	t.Helper()
	m := proxyEntry{
		Name: "far", Domain: "b", Region: "south", Started: 1000,
		Callers: netip.MustParseAddrPort("10.1.0.1:80"), Peers: netip.MustParseAddrPort("10.1.0.1:81"),
	}
	change(&m)
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Another program overwrites a proxy's entry. An invalid entry used to be kept as a proxy without
// an address, which callers were sent to, or it left the old entry in force. It must name no proxy
// until the proxy writes its entry again.
func TestInvalidProxyEntriesAreRejected(t *testing.T) {
	d := newTwoRegionDaemon(t)
	valid := remoteEntry(t, func(*proxyEntry) {})
	for text, accepted := range map[string]bool{
		string(valid): true,
		"":            false, "{": false, "null": false, "[]": false, `"far"`: false, "{}": false, "\xff\xfe": false,
		string(remoteEntry(t, func(m *proxyEntry) { m.Name = "near" })):              false,
		string(remoteEntry(t, func(m *proxyEntry) { m.Callers = netip.AddrPort{} })): false,
		string(remoteEntry(t, func(m *proxyEntry) { m.Peers = netip.AddrPort{} })):   false,
		string(remoteEntry(t, func(m *proxyEntry) { m.Domain = "nowhere" })):         false,
		string(remoteEntry(t, func(m *proxyEntry) { m.Region = "north" })):           false,
		strings.Replace(string(valid), `"name":"far"`, `"name":7`, 1):                false,
		strings.Replace(string(valid), `"name"`, `"name":"far","name"`, 1):           false,
		strings.Replace(string(valid), `10.1.0.1:80"`, `10.1.0.1"`, 1):               false,
		strings.Replace(string(valid), `"started":1000`, `"started":"a while"`, 1):   false,
	} {
		before := d.replica.revision()
		d.replica.apply("peer", replica.Delta{Revision: before + 1, Base: before, Full: before == 0, Entries: []replica.Entry{
			{Key: proxyKeyPrefix + "far", Value: []byte(text), Revision: before + 1},
		}})
		list := d.replica.proxies()
		if got := len(list) == 1 && list[0].Name == "far"; got != accepted {
			t.Errorf("%q: accepted as the proxy's entry %t, want %t (%+v)", text, got, accepted, list)
		}
	}
}

// A VM restarts under its name, and the leaving message of the old process arrives at a peer after
// the new entry. The new process used to count as leaving for its lifetime, and no caller was sent
// to it.
func TestLeavingMessageOfEarlierStartIsIgnored(t *testing.T) {
	d := newTwoRegionDaemon(t)
	d.replica.apply("peer", replica.Delta{Revision: 1, Full: true, Entries: []replica.Entry{
		{Key: proxyKeyPrefix + "far", Value: remoteEntry(t, func(m *proxyEntry) { m.Started = 2000 }), Revision: 1},
	}})
	d.replica.handlePeerState(peerdrpc.SyncMessage{From: "far", StartMillis: 1000, Leaving: true})
	if d.replica.proxies()[0].Leaving {
		t.Error("the new process counts as leaving")
	}
	d.replica.handlePeerState(peerdrpc.SyncMessage{From: "far", StartMillis: 2000, Leaving: true})
	if !d.replica.proxies()[0].Leaving {
		t.Error("a proxy's own leaving message is ignored")
	}
}

// FuzzDecodeMember searches for entries that crash the process, or that are accepted without being
// a usable proxy.
func FuzzDecodeMember(f *testing.F) {
	feed := &storeReplica{daemon: &Daemon{settings: &Settings{RegionOf: map[string]string{"b": "south"}}}}
	f.Add([]byte(`{"name":"far","failure-domain":"b","region":"south","callers":"10.1.0.1:80","peers":"10.1.0.1:81"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := feed.decodeMember("far", data)
		if err == nil && (m.Name != "far" || !m.Callers.IsValid() || !m.Peers.IsValid() || m.Region != "south") {
			t.Errorf("%q is accepted as an entry: %+v", data, m)
		}
	})
}
