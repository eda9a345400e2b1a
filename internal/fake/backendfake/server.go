// Package backendfake stands in for backend servers: slots, a short queue, a
// service time, cold starts, load reports that lag or lie, and failures on
// command. It counts how often each request ran.
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
	// Behaviour is how a server works and fails.
	Behaviour struct {
		ServiceTime time.Duration `json:"service-time"`
		// ColdStartFactor multiplies the service time at the start; it falls to one
		// over ColdFor.
		ColdStartFactor   float64       `json:"cold-factor"`
		ColdStartDuration time.Duration `json:"cold-for"`
		// QueueLength is how many requests wait for a slot before shedding.
		QueueLength int `json:"queue"`
		// ReportLag is how old the reported load is.
		ReportLag time.Duration `json:"report-lag"`
		// ShedAll refuses everything, Leaving says so too.
		ShedAll bool `json:"shed"`
		Leaving bool `json:"leaving"`
		// TruncatePermille breaks that many of a thousand answers off half way.
		TruncatePermille int `json:"truncate-permille"`
		// ResetPermille breaks the connection of that many of a thousand requests
		// after they have run.
		ResetPermille int `json:"reset-permille"`
	}

	// Server is one backend server.
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

	// Stats is what a server has seen.
	Stats struct {
		Name string `json:"name"`
		// Runs counts runs by the caller's own key, or by request id.
		Runs         map[string]int `json:"runs"`
		Served       int            `json:"served"`
		Shed         int            `json:"shed"`
		Expired      int            `json:"refused-after-deadline"`
		MaxInFlight  int            `json:"most-in-flight"`
		LastAccepted time.Time      `json:"last-new-work"`
	}
)

// New makes a server.
func New(name string, slots int, b Behaviour) *Server {
	return &Server{
		name: name, slots: make(chan struct{}, slots), behaviour: b, startedAt: time.Now(),
		stats: Stats{Name: name, Runs: make(map[string]int)},
	}
}

// SetBehaviour replaces the behaviour.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// Behaviour reads the behaviour.
func (s *Server) Behaviour() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour
}

// Stats reads what the server has seen.
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

// admit admits a request or sheds it before anything ran.
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

func (s *Server) reject(w http.ResponseWriter) {
	s.setLoadHeaders(w)
	w.Header().Set(caller.HeaderOutcome, caller.OutcomeNotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// isExpired is the guard against a dispatch that was held up in a frozen proxy:
// past the deadline its caller has been told "unknown" and nobody waits.
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

func (s *Server) recordRun(r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Served++
	if key != "" {
		s.stats.Runs[key]++
	}
}

func (s *Server) serviceTime(b Behaviour) time.Duration {
	factor := 1.0
	if age := time.Since(s.startedAt); b.ColdStartFactor > 1 && age < b.ColdStartDuration {
		factor = b.ColdStartFactor - (b.ColdStartFactor-1)*float64(age)/float64(b.ColdStartDuration)
	}
	spread := 0.5 + rand.Float64()
	return time.Duration(float64(b.ServiceTime) * factor * spread)
}

// setLoadHeaders sets the load header, as old as the behaviour says.
func (s *Server) setLoadHeaders(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.reportedAt) >= s.behaviour.ReportLag {
		s.reportedLoad = s.inFlight
		s.reportedAt = now
	}
	w.Header().Set(caller.HeaderLoad, strconv.Itoa(s.reportedLoad))
	if s.behaviour.Leaving {
		w.Header().Set(caller.HeaderLeaving, "true")
	}
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, b Behaviour, received int) {
	if rand.IntN(1000) < b.ResetPermille {
		panic(http.ErrAbortHandler)
	}
	s.setLoadHeaders(w)
	text := fmt.Sprintf("%s %s %s received %d\n", s.name, r.Method, r.URL.RequestURI(), received)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if rand.IntN(1000) < b.TruncatePermille {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

// ControlHandler serves one process's servers: their stats and behaviour.
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
