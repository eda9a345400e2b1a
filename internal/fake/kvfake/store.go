// Package kvfake provides a fake platform: a key-value service with compare-and-swap and watches, a
// list of VMs that lags behind, and configurable failures.
package kvfake

import (
	"strings"
	"sync"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
)

type (
	// Store holds the values and the list of VMs.
	Store struct {
		mu       sync.Mutex
		values   map[kv.Key]kv.Value
		revision kv.Revision
		changed  chan struct{}
		vmList   kv.VMList
		lag      time.Duration
		snapshot map[kv.Key]kv.Value
	}
)

// NewStore returns an empty store whose list of VMs changes only after the given lag.
func NewStore(lag time.Duration) *Store {
	return &Store{values: make(map[kv.Key]kv.Value), changed: make(chan struct{}), lag: lag}
}

// notifyWatchers notifies all watchers of a change. The caller must hold the lock.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Get returns a value, whether it exists, and a channel that is closed at the next change of the
// store.
func (s *Store) Get(key kv.Key) (kv.Value, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.values[key]
	return value, ok, s.changed
}

// CompareAndSwap writes a value if its revision is the expected one. It returns the revision that
// is stored then, and whether it wrote the value.
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

// List returns all values whose key has the given prefix.
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

// Save takes a snapshot of all values for Restore.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot = make(map[kv.Key]kv.Value)
	for key, value := range s.values {
		s.snapshot[key] = value
	}
}

// Restore replaces the values by those of the snapshot under new revisions, as an operator does
// from a backup.
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

// VMs returns the list of VMs and a channel that is closed at the next change of the store.
func (s *Store) VMs() (kv.VMList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.vmList
	list.VMs = append([]kv.VM(nil), s.vmList.VMs...)
	return list, s.changed
}

// SetVMState sets the state of a VM after the lag. An empty state removes the VM from the list.
func (s *Store) SetVMState(name string, state kv.VMState) {
	time.AfterFunc(s.lag, func() { s.setVMStateNow(name, state) })
}

func (s *Store) setVMStateNow(name string, state kv.VMState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmList = s.vmList.WithState(name, state)
	s.notifyWatchers()
}
