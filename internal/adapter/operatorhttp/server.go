package operatorhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/gypsumquay/gypsumquay/internal/adapter/forwardhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	ioTimeout      = 30 * time.Second
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 16 << 10
	// listTimeout limits the reading of the proposals from the platform.
	listTimeout = 3 * time.Second
)

type (
	// Server serves the API for operators. It requires no authentication, because it exposes no
	// secrets and every change carries its signatures.
	Server struct {
		WithKernel core.Executor
		Trust      operator.TrustedKeys
		Store      kv.Store
		ListValues func(context.Context, kv.Key) (map[kv.Key]kv.Value, error)
		Metrics    *metrics.Set
		// Ready reports whether the proxy accepts callers.
		Ready func() bool
	}
)

// HTTPServer returns an HTTP server for the API, with timeouts and a header size limit.
func (s *Server) HTTPServer() *http.Server {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	router.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	router.HandleFunc(PathStatus, s.status).Methods(http.MethodGet)
	router.HandleFunc(PathMembers, s.members).Methods(http.MethodGet)
	router.HandleFunc(PathEvents, s.events).Methods(http.MethodGet)
	router.HandleFunc(PathBundle, s.bundle).Methods(http.MethodGet)
	router.HandleFunc(PathProposals, s.proposals).Methods(http.MethodGet)
	router.HandleFunc(PathProposals, s.propose).Methods(http.MethodPost)
	router.HandleFunc(PathRollout, s.rollout).Methods(http.MethodPost)
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       ioTimeout,
		WriteTimeout:      ioTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"health": "ok"})
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		writeError(w, http.StatusServiceUnavailable, errors.New("no bundle in force, or stopping"))
		return
	}
	writeJSON(w, http.StatusOK, map[string]string{"ready": "yes"})
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	var status core.Status
	s.WithKernel(func(k *core.Kernel, now time.Time) { status = k.Status(now) })
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) members(w http.ResponseWriter, _ *http.Request) {
	var list MembersResponse
	s.WithKernel(func(k *core.Kernel, _ time.Time) { list.Members = k.Members() })
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) events(w http.ResponseWriter, _ *http.Request) {
	var list EventsResponse
	s.WithKernel(func(k *core.Kernel, _ time.Time) { list.Events = k.Events() })
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) bundle(w http.ResponseWriter, _ *http.Request) {
	var envelope []byte
	s.WithKernel(func(k *core.Kernel, _ time.Time) { envelope = k.Envelope() })
	if envelope == nil {
		writeError(w, http.StatusNotFound, errors.New("no bundle is in force here"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(envelope)
}

func (s *Server) proposals(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), listTimeout)
	defer cancel()
	values, err := s.ListValues(ctx, kv.ProposalKeyPrefix)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	var list ProposalsResponse
	for _, value := range values {
		if e, err := operator.ParseEnvelope(value.Data); err == nil {
			list.Envelopes = append(list.Envelopes, *e)
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) propose(w http.ResponseWriter, r *http.Request) {
	e, ok := readEnvelope(w, r)
	if !ok {
		return
	}
	if _, err := s.Trust.VerifyProposal(e); err != nil {
		writeError(w, http.StatusForbidden, err)
		return
	}
	err := s.storeProposal(r.Context(), e)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(w, http.StatusOK, e)
}

// storeProposal stores a proposal under its digest. Proposing the same bundle again or adding the
// approval replaces the stored proposal, as its bundle is the same.
func (s *Server) storeProposal(ctx context.Context, e *operator.Envelope) error {
	key := kv.ProposalKeyPrefix + kv.Key(e.Digest)
	value, err := s.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return errors.Wrap(err, "read proposal")
	}
	if stored, parseErr := operator.ParseEnvelope(value.Data); parseErr == nil && e.Approver == (operator.Signature{}) && stored.Approver != e.Approver {
		// The author proposes a bundle again that has been approved in the meantime. Storing the
		// proposal without the approval would discard the approval.
		return nil
	}
	_, err = s.Store.CompareAndSwap(ctx, key, value.Revision, e.Encode())
	return errs.Wrap(err, "store proposal")
}

func (s *Server) rollout(w http.ResponseWriter, r *http.Request) {
	e, ok := readEnvelope(w, r)
	if !ok {
		return
	}
	b, err := s.Trust.Verify(e)
	if err != nil {
		writeError(w, http.StatusForbidden, err)
		return
	}
	if e.OperationID == "" {
		writeError(w, http.StatusBadRequest, errors.New("operation: must be set, or a lost answer could not be settled"))
		return
	}
	result, current := kv.Rollout(r.Context(), s.Store, b, e)
	if result == kv.RolloutAccepted {
		s.WithKernel(func(k *core.Kernel, now time.Time) { k.ApplyBundle(now, e.Encode()) })
	}
	writeJSON(w, http.StatusOK, RolloutResponse{Result: result, CurrentVersion: current})
}

func readEnvelope(w http.ResponseWriter, r *http.Request) (*operator.Envelope, bool) {
	data, err := forwardhttp.ReadBody(r, func() ([]byte, error) {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, operator.MaxBundleBytes+maxHeaderBytes))
	})
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err)
		return nil, false
	}
	e, err := operator.ParseEnvelope(data)
	if err != nil {
		writeError(w, http.StatusBadRequest, err)
		return nil, false
	}
	return e, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, err error) {
	writeJSON(w, status, ErrorResponse{Error: err.Error()})
}
