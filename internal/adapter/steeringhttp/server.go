package steeringhttp

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"
)

const (
	headerTimeout = 2 * time.Second
	writeTimeout  = 10 * time.Second
	idleTimeout   = 30 * time.Second
)

type (
	// Server serves the API for operators. It requires no authentication, because it exposes no
	// secrets and changes nothing.
	Server struct {
		Status  func() Status
		Events  func(request string) []Event
		Metrics *metrics.Set
	}
)

// HTTPServer returns an HTTP server for the API, with timeouts.
func (s *Server) HTTPServer() *http.Server {
	router := mux.NewRouter()
	router.HandleFunc(PathStatus, func(w http.ResponseWriter, r *http.Request) {
		status := s.Status()
		if r.URL.Query().Has(summaryParameter) {
			status = status.Summary()
		}
		writeJSON(w, status)
	}).Methods(http.MethodGet)
	router.HandleFunc(PathEvents, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, s.Events(r.URL.Query().Get("request")))
	}).Methods(http.MethodGet)
	router.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		s.Metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}).Methods(http.MethodGet)
	return &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		klog.V(1).InfoS("failed to write response to operator", "error", err.Error())
	}
}
