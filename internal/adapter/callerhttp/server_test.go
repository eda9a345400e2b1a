package callerhttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
)

var (
	errInterrupted = errors.New("connection to the backend server lost")
)

func newTestServer(t *testing.T) *Server {
	t.Helper()
	return NewServer(nil, nil, Limits{MaxBodyBytes: 100, MaxTotalBytes: 150}, time.Now, func(string, caller.Result, time.Duration) {})
}

// Guards against a long response that is interrupted after its first part was sent to the caller,
// and then looks complete: the caller must get an error.
func TestInterruptedStreamIsAnError(t *testing.T) {
	s := newTestServer(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.writeReply(w, Reply{
			Result: caller.Result{Outcome: caller.OutcomeDone, Response: &caller.Response{Status: http.StatusOK}},
			Stream: func(w io.Writer) error {
				_, _ = io.WriteString(w, strings.Repeat("x", 10_000))
				return errInterrupted
			},
		})
	}))
	defer server.Close()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := server.Client().Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if n, err := io.Copy(io.Discard, response.Body); err == nil {
		t.Errorf("got EOF after %d bytes, want an error", n)
	}
}

// Checks that a body over the limit, or one that exceeds the memory for all bodies together, is
// rejected before anything runs, and that the memory is released.
func TestBodyLimits(t *testing.T) {
	s := newTestServer(t)
	read := func(size int) (*bodies.Body, error) {
		r := httptest.NewRequest(http.MethodPost, "/services/x/y", strings.NewReader(strings.Repeat("b", size)))
		return s.bodyMemory.ReadRequest(httptest.NewRecorder(), r, s.limits.MaxBodyBytes, readTimeout)
	}
	if _, err := read(101); !errors.Is(err, bodies.ErrTooLarge) {
		t.Errorf("101 bytes: got error %v, want %v", err, bodies.ErrTooLarge)
	}
	first, err := read(100)
	if err != nil {
		t.Fatalf("100 bytes: got error %v, want none", err)
	}
	if _, err := read(60); !errors.Is(err, bodies.ErrMemoryExhausted) {
		t.Errorf("60 bytes in addition to 100: got error %v, want %v", err, bodies.ErrMemoryExhausted)
	}
	first.Release()
	if _, err := read(60); err != nil {
		t.Errorf("60 bytes after the release: got error %v, want none", err)
	}
}

// Checks that the outcome, the reason and the retry delay are sent as headers, which any HTTP
// client can read.
func TestRejectionHeaders(t *testing.T) {
	w := httptest.NewRecorder()
	newTestServer(t).writeReply(w, Reply{
		Result:   caller.Result{Outcome: caller.OutcomeNotRun, Reason: caller.ReasonRegionCapacity, RetryAfter: 1200 * time.Millisecond},
		NewToken: "t",
	})
	for name, want := range map[string]string{
		caller.HeaderOutcome: "not-run", caller.HeaderReason: "region-capacity", "Retry-After": "2", caller.HeaderToken: "t",
	} {
		if got := w.Header().Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
	if got, want := w.Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}
