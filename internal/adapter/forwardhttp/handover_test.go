package forwardhttp

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// handoverPair is a proxy that reaches no server and a peer that does.
type handoverPair struct {
	caller *httptest.Server
	// seen is the last request that the backend server got.
	seen atomic.Pointer[http.Request]
	// left is closed when a request of the path /a/hangs has been cancelled.
	left chan struct{}
}

func newHandoverPair(t *testing.T) *handoverPair {
	t.Helper()
	pair := &handoverPair{left: make(chan struct{})}
	backend := httptest.NewServer(http.HandlerFunc(pair.serveBackend))
	t.Cleanup(backend.Close)
	headers := serverhttp.Headers{AttemptID: "Attempt", Deadline: "Left", InstanceID: "Instance", Load: "Load", NotRun: "Not-Run", Seal: "Seal"}
	memory := bodies.NewMemoryBudget(1 << 24)
	client := serverhttp.NewClient(headers, memory, time.Now, func() {})
	peer := newTestProxy(t, true, func(ctx context.Context, r serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
		r.Address = netip.MustParseAddrPort(strings.TrimPrefix(backend.URL, "http://"))
		return client.Send(ctx, r)
	})
	handovers := httptest.NewServer(peer.forwarder.HandoverServer().Handler)
	t.Cleanup(handovers.Close)
	pair.caller = newProxyBesidePeer(t, handovers).Server
	return pair
}

// newProxyBesidePeer returns a proxy that reaches no server and hands its requests over to a peer.
func newProxyBesidePeer(t *testing.T, peer *httptest.Server) *testProxy {
	t.Helper()
	headers, memory := serverhttp.Headers{AttemptID: "Attempt", Deadline: "Left", Seal: "Seal"}, bodies.NewMemoryBudget(1<<24)
	first := newTestProxy(t, true, func(context.Context, serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
		return steering.Attempt{Result: steering.ResultUnreachable}, nil
	})
	first.forwarder.SendToPeer = serverhttp.NewClient(headers, memory, time.Now, func() {}).Send
	first.kernel.SetProxies(time.Now(), []steering.Proxy{{Name: "peer", Domain: "a", Region: "r", Handovers: netip.MustParseAddrPort(strings.TrimPrefix(peer.URL, "http://"))}})
	return first
}

func (p *handoverPair) serveBackend(w http.ResponseWriter, r *http.Request) {
	p.seen.Store(r)
	w.Header().Set("Attempt", r.Header.Get("Attempt"))
	body, _ := io.ReadAll(r.Body)
	switch r.URL.Path {
	case "/a/full":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "/a/fails":
		w.Header().Set("Seal", "s")
		w.WriteHeader(http.StatusInternalServerError)
	case "/a/long":
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
	case "/a/hangs":
		<-r.Context().Done()
		close(p.left)
	default:
		w.Header().Set("Seal", "s")
		_, _ = w.Write(append([]byte("got "), body...))
	}
}

// The response of a server must pass two proxies unchanged, and the server must see the caller's
// request only.
func TestHandedOverRequestIsForwardedUnchanged(t *testing.T) {
	p := newHandoverPair(t)
	got := sendRequest(t, http.MethodPost, p.caller.URL+"/a/x?q=1", "data")
	if got.status != http.StatusOK || got.body != "got data" || got.header.Get("Seal") != "s" {
		t.Errorf("got %d %q with seal %q, want 200 and the server's response", got.status, got.body, got.header.Get("Seal"))
	}
	seen := p.seen.Load()
	if seen.RequestURI != "/a/x?q=1" || seen.Header.Get("Attempt") != "id-1" || seen.Header.Get("Instance") != "s1" {
		t.Errorf("server got %s with attempt %q for instance %q, want the caller's request", seen.RequestURI, seen.Header.Get("Attempt"), seen.Header.Get("Instance"))
	}
	for _, header := range []http.Header{got.header, seen.Header} {
		for name := range header {
			if strings.HasPrefix(name, "Gypsumquay-") {
				t.Errorf("got header field %s outside the proxies, want none", name)
			}
		}
	}
}

// Guards against a status that is wrong about execution after a handover.
func TestStatusAfterHandover(t *testing.T) {
	for path, want := range map[string]int{"/a/full": http.StatusServiceUnavailable, "/a/fails": http.StatusInternalServerError, "/b/none": http.StatusNotFound} {
		got := sendRequest(t, http.MethodPost, newHandoverPair(t).caller.URL+path, "data")
		if got.status != want {
			t.Errorf("%s: got status %d, want %d", path, got.status, want)
		}
		if want == http.StatusServiceUnavailable {
			expectRetryAfter(t, got)
		}
	}
}

// Guards against a status that means "not run" and that a proxy of an earlier version returns for a
// request that a server has run.
func TestUnprovenStatusOfPeerIsNotPassedOn(t *testing.T) {
	for name, header := range map[string]http.Header{
		"of a server":    {handoverServerHeader: {"s1"}, "Seal": {"s"}},
		"without a word": {},
		"of its own":     {handoverNotRunHeader: {"false"}},
	} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				maps.Copy(w.Header(), header)
				w.Header().Set("Attempt", r.Header.Get("Attempt"))
				w.WriteHeader(status)
			}))
			got := sendRequest(t, http.MethodPost, newProxyBesidePeer(t, peer).URL+"/a/x", "data")
			peer.Close()
			if got.status != http.StatusBadGateway || got.header.Get("Seal") != "" {
				t.Errorf("status %d %s: got %d with seal %q, want 502 without", status, name, got.status, got.header.Get("Seal"))
			}
		}
	}
}

func TestLongResponsePassesBothProxies(t *testing.T) {
	if got := sendRequest(t, http.MethodGet, newHandoverPair(t).caller.URL+"/a/long", ""); len(got.body) != 1<<20 {
		t.Errorf("got %d bytes, want %d", len(got.body), 1<<20)
	}
}

// The server must stop working on a request whose caller has left the first proxy.
func TestHandedOverRequestIsCancelledWhenItsCallerLeaves(t *testing.T) {
	p := newHandoverPair(t)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.caller.URL+"/a/hangs", nil)
	if err != nil {
		t.Fatal(err)
	}
	if response, err := http.DefaultClient.Do(r); err == nil {
		_ = response.Body.Close()
		t.Fatal("got a response, want none")
	}
	select {
	case <-p.left:
	case <-time.After(2 * time.Second):
		t.Error("request still runs two seconds after its caller left, want it cancelled")
	}
}

// Requests that did not come from a proxy are not accepted as handovers.
func TestHandoverWithoutOriginIsRejected(t *testing.T) {
	peer := newTestProxy(t, true, nil)
	handovers := httptest.NewServer(peer.forwarder.HandoverServer().Handler)
	defer handovers.Close()
	if got := sendRequest(t, http.MethodGet, handovers.URL+"/a/x", ""); got.status != http.StatusBadRequest {
		t.Errorf("got status %d, want 400", got.status)
	}
}
