// Package kvfake stands in for the platform: a key-value service with
// compare-and-swap and watches, a lagging list of VMs, and failures on command.
package kvfake

import (
	"strings"
	"sync"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
)

type (
	// Store is the service's state.
	Store struct {
		mu       sync.Mutex
		values   map[kv.Key]kv.Value
		revision kv.Revision
		changed  chan struct{}
		machines kv.MachineList
		lag      time.Duration
		snapshot map[kv.Key]kv.Value
	}
)

// NewStore makes an empty store whose list of VMs lags by lag.
func NewStore(lag time.Duration) *Store {
	return &Store{values: make(map[kv.Key]kv.Value), changed: make(chan struct{}), lag: lag}
}

// notifyWatchers tells all watchers. It is called with the lock held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get reads a value and the channel that closes at the next change.
func (s *Store) Get(key kv.Key) (kv.Value, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.values[key]
	return value, ok, s.changed
}

// CompareAndSwap writes a value at an expected revision.
func (s *Store) CompareAndSwap(key kv.Key, expect kv.Revision, data []byte) (kv.Revision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.values[key].Revision != expect {
		return s.values[key].Revision, false
	}
	s.revision++
	s.values[key] = kv.Value{Revision: s.revision, Data: data}
	s.notifyWatchers()
	return s.revision, true
}

// List reads all values under a prefix.
func (s *Store) List(prefix kv.Key) map[kv.Key]kv.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[kv.Key]kv.Value)
	for key, value := range s.values {
		if strings.HasPrefix(string(key), string(prefix)) {
			found[key] = value
		}
	}
	return found
}

// Save keeps a copy of all values, for Restore.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = make(map[kv.Key]kv.Value)
	for key, value := range s.values {
		s.snapshot[key] = value
	}
}

// Restore puts the saved values back, as an operator would from a backup.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values = make(map[kv.Key]kv.Value)
	for key, value := range s.snapshot {
		s.revision++
		value.Revision = s.revision
		s.values[key] = value
	}
	s.notifyWatchers()
}

// Machines reads the list of VMs and the channel that closes at a change.
func (s *Store) Machines() (kv.MachineList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.machines
	list.Machines = append([]kv.Machine(nil), s.machines.Machines...)
	return list, s.changed
}

// SetMachine changes the list after the lag. An empty state removes the VM.
func (s *Store) SetMachine(name string, state kv.MachineState) {
	time.AfterFunc(s.lag, func() { s.setMachineNow(name, state) })
}

func (s *Store) setMachineNow(name string, state kv.MachineState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines = s.machines.WithState(name, state)
	s.notifyWatchers()
}
