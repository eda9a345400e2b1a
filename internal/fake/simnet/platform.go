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
	// Platform simulates the key-value service and the list of VMs.
	Platform struct {
		sim             *Sim
		values          map[kv.Key]kv.Value
		snapshot        map[kv.Key]kv.Value
		revision        kv.Revision
		vmList          kv.VMList
		down            bool
		responsesToDrop int
		// Calls counts the calls to the platform; a watch counts as one call when it delivers a
		// change.
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

// SetPlatformDown starts or ends a platform outage.
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

// DropWriteResponses drops the responses of the next n successful writes.
func (s *Sim) DropWriteResponses(n int) { s.platform.responsesToDrop = n }

// SavePlatform takes a snapshot of the stored values.
func (s *Sim) SavePlatform() {
	s.platform.snapshot = make(map[kv.Key]kv.Value)
	for key, value := range s.platform.values {
		s.platform.snapshot[key] = value
	}
}

// RestorePlatform writes the values of the snapshot back, as a restore from a backup does.
func (s *Sim) RestorePlatform() {
	if s.platform.snapshot == nil {
		return
	}
	s.logEvent("platform restored from an older snapshot")
	for _, key := range []kv.Key{keyBundle, keyAssignment} {
		if value, ok := s.platform.snapshot[key]; ok {
			s.platform.put(key, value.Data)
		}
	}
}

// compareAndSwap writes a value if the stored revision is the expected one. The write may take
// effect and its response be lost: ok is then true and responded false.
func (p *Platform) compareAndSwap(key kv.Key, expect kv.Revision, data []byte) (ok, responded bool) {
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

// SetVMState changes the list of VMs after the configured lag.
func (s *Sim) SetVMState(name string, state kv.VMState) {
	s.After(s.config.VMListLag, func() { s.platform.setVMState(name, state) })
}

func (p *Platform) setVMState(name string, state kv.VMState) {
	p.vmList = p.vmList.WithState(name, state)
	for _, proxy := range p.sim.proxies {
		proxy.onVMListChanged()
	}
}
