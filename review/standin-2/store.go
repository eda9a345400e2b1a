package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pageItems is how many items one page of the store holds.
	pageItems = 500
	// maxWatch is the longest wait of a watch.
	maxWatch = 30 * time.Second
)

type (
	// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it: items with
	// revisions, ranges in pages, watches, transactions and leases.
	store struct {
		mu       sync.Mutex
		revision uint64
		lease    uint64
		items    map[string]item
		history  []event
		leases   map[uint64]*lease
		changed  chan struct{}
	}

	// door is the address at which one machine reaches the store. It can be told to turn the
	// machine away.
	door struct {
		address string
		busy    atomic.Bool
		refused atomic.Int64
	}

	item struct {
		Key        string
		Value      []byte
		Revision   uint64
		CreatedRev uint64
		Lease      uint64
	}

	event struct {
		Key        string
		Value      []byte `json:",omitempty"`
		Revision   uint64
		CreatedRev uint64 `json:",omitempty"`
		Lease      uint64 `json:",omitempty"`
		Removed    bool   `json:",omitempty"`
	}

	lease struct {
		ttl  time.Duration
		ends time.Time
	}

	transaction struct {
		Expected []struct {
			Key      string
			Revision uint64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Deletes []string
	}
)

func newStore() *store {
	s := &store{revision: 1, lease: 1000, items: make(map[string]item), leases: make(map[uint64]*lease), changed: make(chan struct{})}
	go func() {
		for {
			time.Sleep(50 * time.Millisecond)
			s.expire(time.Now())
		}
	}()
	return s
}

// open opens a door to the store for one machine.
func (s *store) open(ip string) (*door, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	d := &door{address: listener.Addr().String()}
	handler := s.handler()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.busy.Load() {
			d.refused.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveLeaseEnd)
	return mux
}

// put writes a key on behalf of the operator or of a worker. The return is the acknowledgement.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
	s.wake()
}

// keys lists the keys under a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			list = append(list, strings.TrimPrefix(key, prefix))
		}
	}
	sort.Strings(list)
	return list
}

// write writes a key. s.mu must be held.
func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, CreatedRev: s.revision, Lease: leaseID}
	if old, known := s.items[key]; known {
		i.CreatedRev = old.CreatedRev
	}
	s.items[key] = i
	s.history = append(s.history, event{Key: key, Value: value, Revision: i.Revision, CreatedRev: i.CreatedRev, Lease: leaseID})
}

// remove removes a key. s.mu must be held.
func (s *store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, event{Key: key, Revision: s.revision, Removed: true})
}

// wake ends the watches that wait. s.mu must be held.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that have run out.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease with its keys. s.mu must be held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for key, i := range s.items {
		if i.Lease == id {
			gone = append(gone, key)
		}
	}
	sort.Strings(gone)
	for _, key := range gone {
		s.remove(key)
	}
	if len(gone) > 0 {
		s.wake()
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, known := s.items[r.URL.Query().Get("Key")]
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, i)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var list []item
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("Prefix")) && (!q.Has("after") || key > q.Get("after")) {
			list = append(list, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > pageItems
	reply(w, map[string]any{"items": list[:min(len(list), pageItems)], "MorePages": more, "StoreRevision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(q.Get("WaitMs"), 10, 64)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(maxWatch, time.Duration(wait)*time.Millisecond))
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events, revision, changed := s.eventsAfter(q.Get("Prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter lists the changes under a prefix after a revision. s.mu must be held.
func (s *store) eventsAfter(prefix string, after uint64) []event {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
	events := []event{}
	for _, e := range s.history[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range t.Expected {
		if s.items[x.Key].Revision != x.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			reply(w, map[string]any{"items": []item{}})
			return
		}
	}
	for _, x := range t.Writes {
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, x := range t.Writes {
		s.write(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Deletes {
		s.remove(key)
	}
	s.wake()
	reply(w, map[string]any{"Revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		TTL string `json:"Ttl_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(ask.TTL)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.lease++
	id := s.lease
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, map[string]any{"Lease": id, "Ttl_time": ask.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]any{"Ttl_time": fmt.Sprintf("%dms", l.ttl.Milliseconds())})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	known := s.leases[id] != nil
	if known {
		s.endLease(id)
	}
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, map[string]any{})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
