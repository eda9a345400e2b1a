package simnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
)

const (
	keyBundle     = kv.KeyBundle
	keyAssignment = kv.KeyAssignment
	platformDelay = 3 * time.Millisecond
)

type (
	// Platform is the key-value service and the list of VMs.
	Platform struct {
		sim             *Sim
		values          map[kv.Key]kv.Value
		snapshot        map[kv.Key]kv.Value
		revision        kv.Revision
		machines        kv.MachineList
		down            bool
		responsesToDrop int
		// Calls counts calls, a watch that ends as one.
		Calls int
	}
)

func newPlatform(s *Sim) *Platform {
	return &Platform{sim: s, values: make(map[kv.Key]kv.Value)}
}

func (p *Platform) put(key kv.Key, data []byte) {
	p.revision++
	p.values[key] = kv.Value{Revision: p.revision, Data: data}
	for _, proxy := range p.sim.proxies {
		proxy.onValueChanged(key)
	}
}

// SetPlatformDown begins or ends an outage.
func (s *Sim) SetPlatformDown(down bool) {
	s.platform.down = down
	s.logEvent("platform down %v", down)
	if !down {
		for _, proxy := range s.proxies {
			proxy.onValueChanged(keyBundle)
			proxy.onValueChanged(keyAssignment)
		}
	}
}

// DropWriteResponses drops the answers of the next writes.
func (s *Sim) DropWriteResponses(n int) { s.platform.responsesToDrop = n }

// SavePlatform keeps a copy of the values.
func (s *Sim) SavePlatform() {
	s.platform.snapshot = make(map[kv.Key]kv.Value)
	for key, value := range s.platform.values {
		s.platform.snapshot[key] = value
	}
}

// RestorePlatform puts the copy back, as from a backup.
func (s *Sim) RestorePlatform() {
	if s.platform.snapshot == nil {
		return
	}
	s.logEvent("platform restored to an older value")
	for _, key := range []kv.Key{keyBundle, keyAssignment} {
		if value, ok := s.platform.snapshot[key]; ok {
			s.platform.put(key, value.Data)
		}
	}
}

// compareAndSwap is a compare-and-swap on the version inside the value; the answer may
// be lost after the write.
func (p *Platform) compareAndSwap(key kv.Key, expect kv.Revision, data []byte) (ok, answered bool) {
	p.Calls++
	if p.down {
		return false, false
	}
	if p.values[key].Revision != expect {
		return false, true
	}
	p.put(key, data)
	if p.responsesToDrop > 0 {
		p.responsesToDrop--
		return true, false
	}
	return true, true
}

func (p *Platform) get(key kv.Key) (kv.Value, bool) {
	p.Calls++
	return p.values[key], !p.down
}

// SetMachine changes the list of VMs after its lag.
func (s *Sim) SetMachine(name string, state kv.MachineState) {
	s.After(s.config.MachineListLag, func() { s.platform.setMachine(name, state) })
}

func (p *Platform) setMachine(name string, state kv.MachineState) {
	p.machines = p.machines.WithState(name, state)
	for _, proxy := range p.sim.proxies {
		proxy.onMachineListChanged()
	}
}
