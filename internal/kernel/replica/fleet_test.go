package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	proxyCount         = 200
	serverCount        = 2000
	restartCount       = 120
	changesPerSecond   = 10
	exchangesPerSecond = 2
	// maxControlBytesPerSecond is the limit for control traffic of a VM. A message counts at its
	// sender and at its receiver.
	maxControlBytesPerSecond = 8 << 10
)

type (
	// fleetSimulation simulates the store and the copies of all proxies of a fleet.
	fleetSimulation struct {
		random    *rand.Rand
		now       time.Time
		store     *Copy
		copies    []*Copy
		budgets   []FullCopyBudget
		sentBytes int
		removals  int
	}
)

func newFleetSimulation() *fleetSimulation {
	f := &fleetSimulation{random: rand.New(rand.NewPCG(1, 2)), now: start, store: NewCopy(), budgets: make([]FullCopyBudget, proxyCount)}
	d := Delta{Full: true}
	for i := range serverCount {
		d.Revision++
		d.Entries = append(d.Entries, Entry{Key: fmt.Sprintf("servers/%d", i), Value: make([]byte, 200), Revision: d.Revision})
	}
	f.store.Apply(f.now, d)
	for range proxyCount {
		f.copies = append(f.copies, f.readStore())
	}
	return f
}

// readStore returns a copy read from the store.
func (f *fleetSimulation) readStore() *Copy {
	c := NewCopy()
	c.Apply(f.now, f.store.Since(f.now, 0))
	return c
}

// change writes or removes the entry of a random server.
func (f *fleetSimulation) change() {
	before := f.store.Revision()
	e := Entry{Key: fmt.Sprintf("servers/%d", f.random.IntN(serverCount)), Revision: before + 1}
	if f.random.IntN(10) == 0 {
		e.Removed = true
		f.removals++
	} else {
		e.Value = make([]byte, 200)
	}
	f.store.Apply(f.now, Delta{Base: before, Revision: before + 1, Entries: []Entry{e}})
}

// exchange lets one proxy request from another the changes that it lacks.
func (f *fleetSimulation) exchange(requester, responder int) {
	d := f.copies[responder].Since(f.now, f.copies[requester].RequestRevision())
	if d.Revision <= f.copies[requester].Revision() || d.Full && !f.budgets[responder].Allow(f.now, d.Size()) {
		return
	}
	f.sentBytes += d.Size()
	f.copies[requester].Apply(f.now, d)
}

// Three in five proxies are killed and restarted one after another while servers join and leave.
// A proxy that has just read the store doesn't know earlier removals; if it sent a full copy to
// each peer that lags by one change, the links of small VMs would be saturated for seconds and
// changes delayed.
func TestRestartedProxiesDoNotSendFullCopiesToPeersSlightlyBehind(t *testing.T) {
	f := newFleetSimulation()
	const steps, span = 100, 10
	for step := range steps {
		f.now = f.now.Add(span * time.Second / steps)
		for range changesPerSecond * span / steps {
			f.change()
		}
		if restarted := step * 2; restarted < restartCount {
			f.copies[restarted], f.copies[restarted+1] = f.readStore(), f.readStore()
		}
		// A few proxies watch the store; the others learn of changes from their peers.
		for i := proxyCount - 6; i < proxyCount; i++ {
			f.copies[i].Apply(f.now, f.store.Since(f.now, f.copies[i].Revision()))
		}
		for range proxyCount * exchangesPerSecond * span / steps {
			f.exchange(f.random.IntN(proxyCount), f.random.IntN(proxyCount))
		}
	}
	if got := 2 * f.sentBytes / proxyCount / span; got > maxControlBytesPerSecond {
		t.Errorf("control traffic is %d bytes per second per VM, want at most %d", got, maxControlBytesPerSecond)
	}
	f.converge(t)
}

// converge stops the changes and checks that all copies become equal to the store.
func (f *fleetSimulation) converge(t *testing.T) {
	t.Helper()
	for range 20 {
		f.now = f.now.Add(time.Second)
		for i := range proxyCount {
			f.exchange(i, f.random.IntN(proxyCount))
		}
	}
	for i, c := range f.copies {
		if c.Revision() != f.store.Revision() {
			t.Errorf("copy %d is at revision %d, want %d", i, c.Revision(), f.store.Revision())
		}
		if got, want := len(c.entries), len(f.store.entries); got != want {
			t.Errorf("copy %d holds %d keys, want %d", i, got, want)
		}
	}
	if f.removals == 0 {
		t.Error("nothing was removed, so the test does not cover removals")
	}
}
