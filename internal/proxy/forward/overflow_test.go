package forward

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// wideLinkDaemon creates a daemon with a link of 200 Mbit/s that isn't run and knows one more such
// proxy, "wide", and two with 10 Mbit/s.
func wideLinkDaemon(t *testing.T) *Daemon {
	t.Helper()
	f := newFleet(t, 1)
	settings := *f.daemons[0].settings
	settings.LinkMbps, settings.CPUShare, settings.CPUCores = 200, 0.8, 1
	d, err := New(&settings, f.daemons[0].deps)
	if err != nil {
		t.Fatal(err)
	}
	var entries []replica.Entry
	for i, name := range []string{"wide", "narrow-1", "narrow-2"} {
		entries = append(entries, replica.Entry{Key: proxyKeyPrefix + name, Revision: 1, Value: remoteEntry(t, func(m *proxyEntry) {
			m.Name, m.Domain, m.Region, m.LinkMbps = name, "a", "north", []int{200, 10, 10}[i]
			m.Callers = netip.MustParseAddrPort(fmt.Sprintf("10.1.0.%d:80", i+1))
		})})
	}
	d.replica.apply("peer", replica.Delta{Revision: 1, Full: true, Entries: entries})
	return d
}

func (d *Daemon) lookupCount() (n int) {
	d.withKernel(func(k *steering.Kernel, _ time.Time) { n = len(k.Lookup("host", "north", "a")) })
	return n
}

// A meter that misses one of the resources, or counts it against the wrong unit, would leave callers
// on full links or send them to narrow ones for no reason.
func TestUtilizationIsMeasuredAgainstTheShares(t *testing.T) {
	var sent uint64
	var cpu time.Duration
	m := utilizationMeter{linkMbps: 200, cpuCores: 0.8, sentBytes: func() uint64 { return sent }, cpuTime: func() time.Duration { return cpu }}
	now := time.Unix(1_000_000, 0)
	if got := m.measure(now); got != (utilization{}) {
		t.Errorf("the first measurement is %+v, want zero", got)
	}
	sent, cpu = 25_000_000, 400*time.Millisecond
	if got, want := m.measure(now.Add(2*time.Second)), (utilization{link: 0.5, cpu: 0.25}); got != want {
		t.Errorf("utilization is %+v, want %+v", got, want)
	}
	sent += 25_000_000 / 4
	if got, want := m.measure(now.Add(2250*time.Millisecond)).link, 25.0/45; math.Abs(got-want) > 1e-9 {
		t.Errorf("utilization of the link after a quarter of a second at its full bandwidth is %.2f, want %.2f", got, want)
	}
	m.linkMbps, m.cpuCores = 0, 0
	sent, cpu = 50_000_000, time.Second
	if got := m.measure(now.Add(3 * time.Second)); got != (utilization{}) {
		t.Errorf("utilization of resources of unknown size is %+v, want zero", got)
	}
	for _, c := range []struct{ share, cores, want float64 }{{0.16, 1, 0.16}, {0.8, 0, 0.8}, {0, 2, 2}, {0, 0, 0}} {
		if got := cpuCores(&Settings{CPUShare: c.share, CPUCores: c.cores}); got != c.want {
			t.Errorf("share %.2f, cores %.2f: %.2f cores, want %.2f", c.share, c.cores, got, c.want)
		}
	}
}

// Callers must be sent to further proxies within three seconds of a burst. The level must be written
// with the entry, at most once in two seconds, and have no effect before.
func TestOverflowLevelIsPublished(t *testing.T) {
	d := wideLinkDaemon(t)
	var entry proxyEntry
	r := &registrar{replica: d.replica, store: Store{
		GrantLease: func(context.Context, time.Duration) (uint64, error) { return 7, nil },
		Put: func(_ context.Context, _ string, data []byte, _ uint64) error {
			entry = proxyEntry{}
			return json.Unmarshal(data, &entry)
		},
	}}
	var sent uint64
	d.overflow.meter.sentBytes = func() uint64 { return sent }
	d.overflow.meter.cpuTime = func() time.Duration { return 0 }
	burst := d.now().Add(time.Second)
	var published []time.Duration
	for after := -time.Second; after <= 4*time.Second; after += sampleInterval {
		if after > 0 {
			sent += 25_000_000 / 4
		}
		d.overflow.update(burst.Add(after))
		select {
		case <-d.replica.rewriteEntry:
		default:
			continue
		}
		published = append(published, after)
		before := d.lookupCount()
		r.written = false
		if !r.ensureRegistered(context.Background()) {
			t.Fatal("the entry is not written")
		}
		data, _ := json.Marshal(entry)
		revision := replica.Position(len(published))
		d.replica.apply("peer", replica.Delta{Base: revision, Revision: revision + 1, Entries: []replica.Entry{{Key: proxyKeyPrefix + entry.Name, Value: data, Revision: revision + 1}}})
		d.replica.flushProxies()
		if got := d.lookupCount(); len(published) == 1 && (before != 2 || got != 4) {
			t.Errorf("%d proxies are returned before the level is published and %d after, want 2 and 4", before, got)
		}
	}
	if want := []time.Duration{750 * time.Millisecond, 2750 * time.Millisecond}; !slices.Equal(published, want) {
		t.Errorf("levels are published %v after the begin of the burst, want %v", published, want)
	}
	if got := d.replica.proxies()[2]; got.Overflow != 2 || got.LinkMbps != 200 {
		t.Errorf("the status shows level %d and a link of %d Mbit/s, want 2 and 200", got.Overflow, got.LinkMbps)
	}
}

// A preferred proxy dies, and its entry is removed. A lookup that still returned it would send half
// of the callers of its failure domain to a dead address.
func TestRemovedProxyIsNotReturned(t *testing.T) {
	d := wideLinkDaemon(t)
	if got := d.lookupCount(); got != 2 {
		t.Fatalf("%d proxies are returned, want the two with wide links", got)
	}
	d.replica.apply("peer", replica.Delta{Base: 1, Revision: 2, Entries: []replica.Entry{{Key: proxyKeyPrefix + "wide", Revision: 2, Removed: true}}})
	var list []netip.AddrPort
	d.withKernel(func(k *steering.Kernel, _ time.Time) { list = k.Lookup("host", "north", "a") })
	if dead := netip.MustParseAddrPort("10.1.0.1:80"); slices.Contains(list, dead) || len(list) != 3 {
		t.Errorf("lookups return %v after the entry of %s was removed, want the three others", list, dead)
	}
}
