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
		name  string
		slots chan struct{}
		mu    sync.Mutex
		b     Behaviour
		began time.Time
		busy  int
		old   int
		oldAt time.Time
		stats Stats
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
		name: name, slots: make(chan struct{}, slots), b: b, began: time.Now(),
		stats: Stats{Name: name, Runs: make(map[string]int)},
	}
}

// SetBehaviour replaces the behaviour.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.b = b
}

// Behaviour reads the behaviour.
func (s *Server) Behaviour() Behaviour {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b
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
		s.report(w)
		return
	}
	b, ok := s.enter(w)
	if !ok {
		return
	}
	defer s.leave()
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.tooLate(r) {
		s.refuse(w)
		return
	}
	s.ran(r)
	time.Sleep(s.serviceTime(b))
	s.answer(w, r, b, len(body))
}

// enter admits a request or sheds it before anything ran.
func (s *Server) enter(w http.ResponseWriter) (Behaviour, bool) {
	s.mu.Lock()
	b := s.b
	full := s.busy >= cap(s.slots)+b.QueueLength
	if !b.ShedAll && !full {
		s.busy++
		s.stats.MaxInFlight = max(s.stats.MaxInFlight, s.busy)
		s.stats.LastAccepted = time.Now()
		s.mu.Unlock()
		return b, true
	}
	s.stats.Shed++
	s.mu.Unlock()
	s.refuse(w)
	return b, false
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
}

func (s *Server) refuse(w http.ResponseWriter) {
	s.report(w)
	w.Header().Set(caller.HeaderOutcome, caller.OutcomeNotRun.String())
	w.WriteHeader(http.StatusServiceUnavailable)
}

// tooLate is the guard against a dispatch that was held up in a frozen proxy:
// past the deadline its caller has been told "unknown" and nobody waits.
func (s *Server) tooLate(r *http.Request) bool {
	micros, err := strconv.ParseInt(r.Header.Get(caller.HeaderDeadline), 10, 64)
	if err != nil || time.Now().Before(time.UnixMicro(micros)) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Expired++
	return true
}

func (s *Server) ran(r *http.Request) {
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
	if age := time.Since(s.began); b.ColdStartFactor > 1 && age < b.ColdStartDuration {
		factor = b.ColdStartFactor - (b.ColdStartFactor-1)*float64(age)/float64(b.ColdStartDuration)
	}
	spread := 0.5 + rand.Float64()
	return time.Duration(float64(b.ServiceTime) * factor * spread)
}

// report sets the load header, as old as the behaviour says.
func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.oldAt) >= s.b.ReportLag {
		s.old = s.busy
		s.oldAt = now
	}
	w.Header().Set(caller.HeaderLoad, strconv.Itoa(s.old))
	if s.b.Leaving {
		w.Header().Set(caller.HeaderLeaving, "true")
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, b Behaviour, received int) {
	if rand.IntN(1000) < b.ResetPermille {
		panic(http.ErrAbortHandler)
	}
	s.report(w)
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
