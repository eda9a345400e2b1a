package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageSize is the number of items of a page of the store, serverPrefix begins the keys of workers.
	pageSize     = 200
	serverPrefix = "servers/"
	configKey    = "op/config"
)

type (
	// store is a stand-in of the platform's metadata store, as PROTOCOL.md describes it.
	store struct {
		address string

		mu       sync.Mutex
		items    map[string]item
		history  []item
		revision uint64
		leases   map[uint64]lease
		changed  chan struct{}
	}

	item struct {
		Key        string
		Value      []byte `json:",omitempty"`
		Revision   uint64
		CreatedRev uint64
		Lease      uint64
		Removed    bool `json:",omitempty"`
	}

	lease struct {
		ttl time.Duration
		end time.Time
	}

	txn struct {
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

func startStore() (*store, error) {
	s := &store{items: make(map[string]item), leases: make(map[uint64]lease), changed: make(chan struct{}), revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveEnd)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(listener) }()
	return s, nil
}

// put writes a key without a lease, as the operator and the workers do.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, data, 0)
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	s.revision++
	created := s.revision
	if old, present := s.items[key]; present {
		created = old.CreatedRev
	}
	i := item{Key: key, Value: value, Revision: s.revision, CreatedRev: created, Lease: leaseID}
	s.items[key], s.history = i, append(s.history, i)
	s.notify()
}

func (s *store) delete(key string) {
	if _, present := s.items[key]; !present {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that were not renewed in time.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id && id != 0 {
			s.delete(key)
		}
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, present := s.items[r.URL.Query().Get("Key")]
	if !present {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, struct {
		item
		StoreRevision uint64
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("Prefix")) && key > r.URL.Query().Get("after") {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(list) > pageSize
	respond(w, http.StatusOK, map[string]any{"items": list[:min(len(list), pageSize)], "MorePages": more, "StoreRevision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for timedOut := false; ; {
		s.mu.Lock()
		s.expire()
		events, revision, changed := []item{}, s.revision, s.changed
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("Prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			respond(w, http.StatusOK, map[string]any{"events": events, "StoreRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	met, current := true, []item{}
	for _, e := range t.Expected {
		i := s.items[e.Key]
		i.Key = e.Key
		met, current = met && i.Revision == e.Revision, append(current, i)
	}
	if !met {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range t.Writes {
		if _, held := s.leases[write.Lease]; !held && write.Lease != 0 {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, write := range t.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range t.Deletes {
		s.delete(key)
	}
	respond(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL string `json:"Ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&request)
	ttl, err := time.ParseDuration(request.TTL)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = lease{ttl, time.Now().Add(ttl)}
	respond(w, http.StatusOK, map[string]any{"Lease": s.revision, "Ttl_time": request.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, held := s.leases[id]
	if !held {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	respond(w, http.StatusOK, map[string]any{"Ttl_time": strconv.FormatInt(l.ttl.Milliseconds(), 10) + "ms"})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	respond(w, http.StatusOK, map[string]any{})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
