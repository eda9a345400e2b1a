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

// The only proxy of a region vanishes from the list. If the store was away, its
// entry has run out though it serves on, and will be back; moving its callers'
// objects and back again would run them cold twice. Otherwise it is gone.
func TestTentativelyRemovedProxyKeepsItsRegionServed(t *testing.T) {
	f := newFleet(t, 1)
	for _, doubtful := range []bool{false, true} {
		settings := *f.daemons[0].settings
		settings.RegionOf = map[string]string{"a": "north", "b": "south"}
		d, err := New(&settings, f.daemons[0].deps)
		if err != nil {
			t.Fatal(err)
		}
		entry := remoteEntry(t, func(*proxyEntry) {})
		d.replica.apply(replica.Delta{Revision: 1, Whole: true, Entries: []replica.Entry{{Key: proxyKeyPrefix + "far", Value: entry, Revision: 1}}})
		d.replica.apply(replica.Delta{Base: 1, Revision: 2, Entries: []replica.Entry{{Key: proxyKeyPrefix + "far", Revision: 2, Removed: true, Doubtful: doubtful}}})
		var stranded []string
		d.withKernel(func(k *steering.Kernel, now time.Time) {
			// The proxy has just started: it believes the list after two seconds and
			// counts the region's callers elsewhere a second later.
			for after := time.Duration(0); after <= 3100*time.Millisecond; after += 100 * time.Millisecond {
				k.Tick(now.Add(after))
			}
			stranded = k.Status(now).Stranded
		})
		if got := slices.Contains(stranded, "south"); got == doubtful {
			t.Errorf("entry gone, doubtful %t: the region counts as one without proxies %t", doubtful, got)
		}
	}
}

// newTwoRegionDaemon is a proxy that never runs and knows two regions.
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

// Another program writes over a proxy's entry. Its text was kept as a proxy with
// no address, which callers were told to ask, or left the old entry in force. It
// names no proxy until the proxy writes it again; the others stay.
func TestInvalidProxyEntriesAreRejected(t *testing.T) {
	d := newTwoRegionDaemon(t)
	good := remoteEntry(t, func(*proxyEntry) {})
	for text, named := range map[string]bool{
		string(good): true,
		"":           false, "{": false, "null": false, "[]": false, `"far"`: false, "{}": false, "\xff\xfe": false,
		string(remoteEntry(t, func(m *proxyEntry) { m.Name = "near" })):              false,
		string(remoteEntry(t, func(m *proxyEntry) { m.Callers = netip.AddrPort{} })): false,
		string(remoteEntry(t, func(m *proxyEntry) { m.Peers = netip.AddrPort{} })):   false,
		string(remoteEntry(t, func(m *proxyEntry) { m.Domain = "nowhere" })):         false,
		string(remoteEntry(t, func(m *proxyEntry) { m.Region = "north" })):           false,
		strings.Replace(string(good), `"name":"far"`, `"name":7`, 1):                 false,
		strings.Replace(string(good), `"name"`, `"name":"far","name"`, 1):            false,
		strings.Replace(string(good), `10.1.0.1:80"`, `10.1.0.1"`, 1):                false,
		strings.Replace(string(good), `"started":1000`, `"started":"a while"`, 1):    false,
	} {
		before := d.replica.revision()
		d.replica.apply(replica.Delta{Revision: before + 1, Base: before, Whole: before == 0, Entries: []replica.Entry{
			{Key: proxyKeyPrefix + "far", Value: []byte(text), Revision: before + 1},
		}})
		list := d.replica.proxies()
		if got := len(list) == 1 && list[0].Name == "far"; got != named {
			t.Errorf("%q: names the proxy %t, want %t (%+v)", text, got, named, list)
		}
	}
}

// A VM stops and starts again under its name. What the old process said to its
// peers as it left arrives after the new entry: the new process was taken to leave
// for as long as it lived, and no caller was sent to it.
func TestLeavingMessageOfEarlierStartIsIgnored(t *testing.T) {
	d := newTwoRegionDaemon(t)
	d.replica.apply(replica.Delta{Revision: 1, Whole: true, Entries: []replica.Entry{
		{Key: proxyKeyPrefix + "far", Value: remoteEntry(t, func(m *proxyEntry) { m.Started = 2000 }), Revision: 1},
	}})
	d.replica.handlePeerState(peerdrpc.SyncMessage{From: "far", Started: 1000, Leaving: true})
	if d.replica.proxies()[0].Leaving {
		t.Error("the new process is taken to leave")
	}
	d.replica.handlePeerState(peerdrpc.SyncMessage{From: "far", Started: 2000, Leaving: true})
	if !d.replica.proxies()[0].Leaving {
		t.Error("a proxy's own word that it leaves is not believed")
	}
}

// FuzzDecodeMember looks for entries that end the process or come out as a proxy
// that cannot be asked.
func FuzzDecodeMember(f *testing.F) {
	feed := &storeReplica{daemon: &Daemon{settings: &Settings{RegionOf: map[string]string{"b": "south"}}}}
	f.Add([]byte(`{"name":"far","failure-domain":"b","region":"south","callers":"10.1.0.1:80","peers":"10.1.0.1:81"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := feed.decodeMember("far", data)
		if err == nil && (m.Name != "far" || !m.Callers.IsValid() || !m.Peers.IsValid() || m.Region != "south") {
			t.Errorf("%q is taken for a proxy: %+v", data, m)
		}
	})
}
