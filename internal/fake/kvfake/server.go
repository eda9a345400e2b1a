package kvfake

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/gypsumquay/gypsumquay/internal/adapter/kvhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
)

type (
	// Faults are the failures to inject.
	Faults struct {
		// Outage is how long from now on every call is rejected.
		Outage time.Duration `json:"outage"`
		// Delay is added to every call.
		Delay time.Duration `json:"slow"`
		// DropWriteResponses is the number of successful writes whose response is dropped after the
		// write has taken effect.
		DropWriteResponses int `json:"lose-answers"`
	}

	// Server serves a Store over HTTP and injects faults.
	Server struct {
		store           *Store
		mu              sync.Mutex
		outageUntil     time.Time
		delay           time.Duration
		responsesToDrop int
		calls           map[string]int
	}
)

// NewServer returns a server for a store.
func NewServer(s *Store) *Server { return &Server{store: s, calls: make(map[string]int)} }

// Handler returns the handler of the service's API and of the endpoints under /control.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc("/v1/keys/{key}", s.withFaults("get", s.get)).Methods(http.MethodGet)
	router.HandleFunc("/v1/keys/{key}", s.withFaults("swap", s.compareAndSwap)).Methods(http.MethodPut)
	router.HandleFunc("/v1/keys", s.withFaults("list", s.list)).Methods(http.MethodGet)
	router.HandleFunc("/v1/machines", s.withFaults("machines", s.serveVMs)).Methods(http.MethodGet)
	router.HandleFunc("/control/faults", s.setFaults).Methods(http.MethodPost)
	router.HandleFunc("/control/machines/{name}/{state}", s.setVMState).Methods(http.MethodPost)
	router.HandleFunc("/control/save", func(http.ResponseWriter, *http.Request) { s.store.Save() }).Methods(http.MethodPost)
	router.HandleFunc("/control/restore", func(http.ResponseWriter, *http.Request) { s.store.Restore() }).Methods(http.MethodPost)
	router.HandleFunc("/control/calls", s.writeCallCounts).Methods(http.MethodGet)
	return router
}

// withFaults counts a call and applies the current faults before it.
func (s *Server) withFaults(operation string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[operation]++
		outage := time.Now().Before(s.outageUntil)
		delay := s.delay
		s.mu.Unlock()
		time.Sleep(delay)
		if outage {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageUntil = time.Now().Add(faults.Outage)
	s.delay = faults.Delay
	s.responsesToDrop = faults.DropWriteResponses
}

func (s *Server) writeCallCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.calls)
}

// setVMState changes the state of a VM in the list; the state "gone" removes it.
func (s *Server) setVMState(_ http.ResponseWriter, r *http.Request) {
	state := kv.VMState(mux.Vars(r)["state"])
	if state == "gone" {
		state = ""
	}
	s.store.SetVMState(mux.Vars(r)["name"], state)
}

func keyOf(r *http.Request) kv.Key {
	key, _ := url.PathUnescape(mux.Vars(r)["key"])
	return kv.Key(key)
}

// get returns a value. With a wait, it blocks until the revision of the value differs from the
// given one or the wait is over.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		value, ok, changed := s.store.Get(keyOf(r))
		if timeout == 0 || uint64(value.Revision) != after {
			writeValue(w, value, ok)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeValue(w, value, ok)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeValue(w http.ResponseWriter, value kv.Value, ok bool) {
	w.Header().Set(kvhttp.HeaderRevision, strconv.FormatUint(uint64(value.Revision), 10))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(value.Data)
}

// compareAndSwap writes a value if its revision is the expected one.
func (s *Server) compareAndSwap(w http.ResponseWriter, r *http.Request) {
	expect, err := strconv.ParseUint(r.Header.Get(kvhttp.HeaderExpectedRevision), 10, 64)
	data, readErr := io.ReadAll(http.MaxBytesReader(w, r.Body, kvhttp.MaxValueBytes))
	if err != nil || readErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	revision, ok := s.store.CompareAndSwap(keyOf(r), kv.Revision(expect), data)
	if ok && s.shouldDropResponse() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(kvhttp.HeaderRevision, strconv.FormatUint(uint64(revision), 10))
	if !ok {
		w.WriteHeader(http.StatusConflict)
	}
}

// shouldDropResponse reports whether to drop the response of a write, and counts it.
func (s *Server) shouldDropResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.responsesToDrop == 0 {
		return false
	}
	s.responsesToDrop--
	return true
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	_ = json.NewEncoder(w).Encode(s.store.List(kv.Key(r.URL.Query().Get("prefix"))))
}

// serveVMs returns the list of VMs. With a wait, it blocks until the version of the list differs
// from the given one or the wait is over.
func (s *Server) serveVMs(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	timeout, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		list, changed := s.store.VMs()
		if timeout == 0 || list.Version != after {
			_, _ = w.Write(list.Encode())
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_, _ = w.Write(list.Encode())
			return
		case <-r.Context().Done():
			return
		}
	}
}
