// Package backendfake provides fake backend servers with slots, a short queue, a service time, cold
// starts, lagging load reports and configurable failures. Each counts how often it ran each
// request.
package backendfake

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
)

type (
	// Behaviour configures how a server performs and fails.
	Behaviour struct {
		ServiceTime time.Duration `json:"service-time"`
		// ColdStartFactor multiplies the service time after the start; it falls linearly to one
		// over ColdStartDuration.
		ColdStartFactor   float64       `json:"cold-factor"`
		ColdStartDuration time.Duration `json:"cold-for"`
		// QueueLength is the number of requests that may wait for a slot; further requests are
		// shed.
		QueueLength int `json:"queue"`
		// ReportLag is the age up to which the server keeps reporting an old load.
		ReportLag time.Duration `json:"report-lag"`
		// ShedAll rejects every request. Draining advertises in the response headers that the
		// server is draining.
		ShedAll  bool `json:"shed"`
		Draining bool `json:"leaving"`
		// TruncatePermille is the share of responses cut off half way, in thousandths.
		TruncatePermille int `json:"truncate-permille"`
		// ResetPermille is the share of requests whose connection is reset after they have run, in
		// thousandths.
		ResetPermille int `json:"reset-permille"`
	}

	// Server is one fake backend server.
	Server struct {
		name         string
		slots        chan struct{}
		mu           sync.Mutex
		behaviour    Behaviour
		startedAt    time.Time
		inFlight     int
		reportedLoad int
		reportedAt   time.Time
		stats        Stats
	}

	// Stats holds the counters of a server.
	Stats struct {
		Name string `json:"name"`
		// Runs counts the runs by Idempotency-Key header.
		Runs         map[string]int `json:"runs"`
		Served       int            `json:"served"`
		Shed         int            `json:"shed"`
		Expired      int            `json:"refused-after-deadline"`
		MaxInFlight  int            `json:"most-in-flight"`
		LastAccepted time.Time      `json:"last-new-work"`
	}
)

// New returns a server with the given number of slots.
func New(name string, slots int, b Behaviour) *Server {
	return &Server{
		name: name, slots: make(chan struct{}, slots), behaviour: b, startedAt: time.Now(),
		stats: Stats{Name: name, Runs: make(map[string]int)},
	}
}

// SetBehaviour replaces the behaviour of the server.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Behaviour returns the current behaviour.
func (s *Server) Behaviour() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour
}

// Stats returns a copy of the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.stats
	copied.Runs = make(map[string]int, len(s.stats.Runs))
	for key, n := range s.stats.Runs {
		copied.Runs[key] = n
	}
	return copied
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get(caller.HeaderAttempt); attempt != "" {
		w.Header().Set(caller.HeaderAttempt, attempt)
	}
	if r.URL.Path == "/health" {
		s.setLoadHeaders(w)
		return
	}
	b, ok := s.admit(w)
	if !ok {
		return
	}
	defer s.release()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.isExpired(r) {
		s.reject(w)
		return
	}
	s.recordRun(r)
	time.Sleep(s.serviceTime(b))
	s.respond(w, r, b, len(body))
}

// admit counts a request as in flight, or sheds it before any of it has run.
func (s *Server) admit(w http.ResponseWriter) (Behaviour, bool) {
	s.mu.Lock()
	b := s.behaviour
	full := s.inFlight >= cap(s.slots)+b.QueueLength
	if !b.ShedAll && !full {
		s.inFlight++
		s.stats.MaxInFlight = max(s.stats.MaxInFlight, s.inFlight)
		s.stats.LastAccepted = time.Now()
		s.mu.Unlock()
		return b, true
	}
	s.stats.Shed++
	s.mu.Unlock()
	s.reject(w)
	return b, false
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// reject responds that the request did not run.
func (s *Server) reject(w http.ResponseWriter) {
	s.setLoadHeaders(w)
	w.Header().Set(caller.HeaderOutcome, caller.OutcomeNotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// isExpired reports whether the deadline of a request has passed. It guards against dispatches that
// were delayed in a frozen proxy: after the deadline the caller has received the outcome "unknown"
// and no longer waits.
func (s *Server) isExpired(r *http.Request) bool {
	micros, err := strconv.ParseInt(r.Header.Get(caller.HeaderDeadline), 10, 64)
	if err != nil || time.Now().Before(time.UnixMicro(micros)) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Expired++
	return true
}

// recordRun counts a run of a request.
func (s *Server) recordRun(r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Served++
	if key != "" {
		s.stats.Runs[key]++
	}
}

// serviceTime returns a random duration between half and one and a half times the mean.
func (s *Server) serviceTime(b Behaviour) time.Duration {
	factor := 1.0
	if age := time.Since(s.startedAt); b.ColdStartFactor > 1 && age < b.ColdStartDuration {
		factor = b.ColdStartFactor - (b.ColdStartFactor-1)*float64(age)/float64(b.ColdStartDuration)
	}
	jitter := 0.5 + rand.Float64()
	return time.Duration(float64(b.ServiceTime) * factor * jitter)
}

// setLoadHeaders sets the load header, which lags by up to ReportLag, and the header that
// advertises draining.
func (s *Server) setLoadHeaders(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.reportedAt) >= s.behaviour.ReportLag {
		s.reportedLoad = s.inFlight
		s.reportedAt = now
	}
	w.Header().Set(caller.HeaderLoad, strconv.Itoa(s.reportedLoad))
	if s.behaviour.Draining {
		w.Header().Set(caller.HeaderDraining, "true")
	}
}

// respond writes the response, unless the behaviour resets or truncates this one.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, b Behaviour, bodyBytes int) {
	if rand.IntN(1000) < b.ResetPermille {
		panic(http.ErrAbortHandler)
	}
	s.setLoadHeaders(w)
	body := fmt.Sprintf("%s %s %s received %d\n", s.name, r.Method, r.URL.RequestURI(), bodyBytes)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if rand.IntN(1000) < b.TruncatePermille {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// ControlHandler serves the stats of the given servers and lets clients change their behaviour.
func ControlHandler(servers map[string]*Server) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		all := make([]Stats, 0, len(servers))
		for _, s := range servers {
			all = append(all, s.Stats())
		}
		_ = json.NewEncoder(w).Encode(all)
	})
	mux.HandleFunc("POST /behaviour/{name}", func(w http.ResponseWriter, r *http.Request) {
		s := servers[r.PathValue("name")]
		if s == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		b := s.Behaviour()
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.SetBehaviour(b)
	})
	return mux
}
