package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	fleetSize     = 200
	fleetServers  = 2000
	fleetRestarts = 120
	changesASec   = 10
	exchangesASec = 2
	// controlMost is what control may take of a VM, in bytes a second. A
	// message counts at the one that sends it and at the one that gets it.
	controlMost = 8 << 10
)

type (
	// fleetStore is the store as a list of changes, and the copies of a fleet.
	fleetStore struct {
		random   *rand.Rand
		now      time.Time
		truth    *Copy
		copies   []*Copy
		givers   []FullCopyBudget
		sent     int
		removals int
	}
)

func newFleetStore() *fleetStore {
	f := &fleetStore{random: rand.New(rand.NewPCG(1, 2)), now: start, truth: NewCopy(), givers: make([]FullCopyBudget, fleetSize)}
	d := Delta{Full: true}
	for i := range fleetServers {
		d.Revision++
		d.Entries = append(d.Entries, Entry{Key: fmt.Sprintf("servers/%d", i), Value: make([]byte, 200), Revision: d.Revision})
	}
	f.truth.Apply(f.now, d)
	for range fleetSize {
		f.copies = append(f.copies, f.read())
	}
	return f
}

// read is a copy read from the store.
func (f *fleetStore) read() *Copy {
	c := NewCopy()
	c.Apply(f.now, f.truth.Since(f.now, 0))
	return c
}

// change writes a server's entry, removes one, or adds one.
func (f *fleetStore) change() {
	before := f.truth.Revision()
	e := Entry{Key: fmt.Sprintf("servers/%d", f.random.IntN(fleetServers)), Revision: before + 1}
	if f.random.IntN(10) == 0 {
		e.Removed = true
		f.removals++
	} else {
		e.Value = make([]byte, 200)
	}
	f.truth.Apply(f.now, Delta{Base: before, Revision: before + 1, Entries: []Entry{e}})
}

// exchange lets one proxy ask another for what it lacks.
func (f *fleetStore) exchange(asks, answers int) {
	d := f.copies[answers].Since(f.now, f.copies[asks].RequestRevision())
	if d.Revision <= f.copies[asks].Revision() || d.Full && !f.givers[answers].Allow(f.now, d.Size()) {
		return
	}
	f.sent += d.Size()
	f.copies[asks].Apply(f.now, d)
}

// Three in five proxies are killed and start again, one after the other, while
// servers come and go. A proxy that has read the store does not know what was
// removed before; if it then gave everything to each peer that lags by one
// change, the links of small VMs would be full for seconds and changes late.
func TestRestartedProxiesDoNotGiveEverythingToPeersThatLagALittle(t *testing.T) {
	f := newFleetStore()
	const steps, span = 100, 10
	for step := range steps {
		f.now = f.now.Add(span * time.Second / steps)
		for range changesASec * span / steps {
			f.change()
		}
		if restarted := step * 2; restarted < fleetRestarts {
			f.copies[restarted], f.copies[restarted+1] = f.read(), f.read()
		}
		// A few follow the store; the rest hears in exchanges.
		for i := fleetSize - 6; i < fleetSize; i++ {
			f.copies[i].Apply(f.now, f.truth.Since(f.now, f.copies[i].Revision()))
		}
		for range fleetSize * exchangesASec * span / steps {
			f.exchange(f.random.IntN(fleetSize), f.random.IntN(fleetSize))
		}
	}
	if got := 2 * f.sent / fleetSize / span; got > controlMost {
		t.Errorf("control took %d bytes a second of a VM, want at most %d", got, controlMost)
	}
	f.settle(t)
}

// settle ends the changes and checks that all copies come to agree.
func (f *fleetStore) settle(t *testing.T) {
	t.Helper()
	for range 20 {
		f.now = f.now.Add(time.Second)
		for i := range fleetSize {
			f.exchange(i, f.random.IntN(fleetSize))
		}
	}
	for i, c := range f.copies {
		if c.Revision() != f.truth.Revision() {
			t.Errorf("copy %d is at revision %d, want %d", i, c.Revision(), f.truth.Revision())
		}
		if got, want := len(c.entries), len(f.truth.entries); got != want {
			t.Errorf("copy %d holds %d keys, want %d", i, got, want)
		}
	}
	if f.removals == 0 {
		t.Error("nothing was removed, so this says nothing of removals")
	}
}
