package forwardhttp

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// testBodyMemory is less than two bodies of the maximum size.
	testBodyMemory = 150
)

type (
	// testProxy is a server with a kernel and one backend server, which a function simulates.
	testProxy struct {
		*httptest.Server
		mu       sync.Mutex
		kernel   *steering.Kernel
		stopping bool
		// forwarder is the server under test.
		forwarder *Server
	}

	sender func(context.Context, serverhttp.Request) (steering.Attempt, *serverhttp.Response)
)

func newTestProxy(t *testing.T, configured bool, send sender) *testProxy {
	t.Helper()
	return startTestProxy(t, configured, send, time.Time{}, nil)
}

// startTestProxy starts a testProxy whose process started at the given time, and whose channel is
// closed when the configuration has arrived.
func startTestProxy(t *testing.T, configured bool, send sender, started time.Time, configurationLoaded <-chan struct{}) *testProxy {
	t.Helper()
	p := &testProxy{kernel: steering.New(steering.Config{Name: "p", Domain: "a", Region: "r", RegionOf: map[string]string{"a": "r"}})}
	s := &Server{
		Requests: context.Background(),
		Name:     "p", Headers: Headers{AttemptID: "Attempt", Deadline: "Wait", ObjectCookie: "Object"},
		WithKernel: func(do func(*steering.Kernel, time.Time)) {
			p.mu.Lock()
			defer p.mu.Unlock()
			do(p.kernel, time.Now())
		},
		BodyMemory: bodies.NewMemoryBudget(testBodyMemory), Send: send, Now: time.Now, IsStopping: func() bool { return p.stopping },
		Configured: configurationLoaded, StartedAt: started,
	}
	p.forwarder = s
	if configured {
		p.configure()
	}
	p.Server = httptest.NewServer(s.HTTPServer().Handler)
	t.Cleanup(p.Close)
	return p
}

func (p *testProxy) configure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	route := &routing.Route{
		Name: "route", Host: "127.0.0.1", Prefix: "/a/", Attempts: 2, Timeout: time.Second, Target: time.Second,
		Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}
	p.kernel.SetTable(routing.NewTable(1, []*routing.Route{route}, nil, routing.Limits{BodyBytes: 100}))
	p.kernel.RegisterServer(time.Now(), routing.Server{
		ID: "s1", Service: "service", Domain: "a", Slots: 4, Address: netip.MustParseAddrPort("127.0.0.1:1"),
	})
}

// fullResponse is a response whose body was read completely.
type fullResponse struct {
	status int
	header http.Header
	close  bool
	body   string
}

func sendRequest(t *testing.T, method, url, body string) fullResponse {
	t.Helper()
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Attempt", "id-1")
	r.Header.Set("Wait", "700")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fullResponse{response.StatusCode, response.Header, response.Close, string(data)}
}

func respondWith(result steering.Result, status int, body string) sender {
	return func(context.Context, serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
		return steering.Attempt{Result: result}, &serverhttp.Response{Status: status, Header: http.Header{"Seal": {"s"}}, Body: &bodies.Body{Content: bodies.NewContent([]byte(body))}}
	}
}

func TestResponseIsForwarded(t *testing.T) {
	p := newTestProxy(t, true, respondWith(steering.ResultResponded, http.StatusCreated, "booked"))
	got := sendRequest(t, http.MethodPost, p.URL+"/a/x", "data")
	if got.status != http.StatusCreated || got.body != "booked" || got.header.Get("Seal") != "s" {
		t.Errorf("got %d %q with seal %q, want 201, the body and the seal", got.status, got.body, got.header.Get("Seal"))
	}
}

// Guards against a proxy that has just started and responds with 404, which callers do not retry.
func TestUnconfiguredProxyReturns503(t *testing.T) {
	p := newTestProxy(t, false, nil)
	got := sendRequest(t, http.MethodGet, p.URL+"/a/x", "")
	if got.status != http.StatusServiceUnavailable {
		t.Errorf("status is %d, want 503", got.status)
	}
	expectRetryAfter(t, got)
}

func expectRetryAfter(t *testing.T, got fullResponse) {
	t.Helper()
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 || seconds > 0.7/3 {
		t.Errorf("Retry-After is %q, want a third of the caller's 0.7 s at most", got.header.Get("Retry-After"))
	}
}

// Guards against a status that is wrong about execution: 503 must mean that nothing ran.
func TestStatusTellsWhetherRequestMayHaveRun(t *testing.T) {
	for name, c := range map[string]struct {
		result steering.Result
		want   int
	}{
		"refused":         {steering.ResultRejected, http.StatusServiceUnavailable},
		"unreachable":     {steering.ResultUnreachable, http.StatusServiceUnavailable},
		"connection lost": {steering.ResultConnectionLost, http.StatusBadGateway},
		"timeout":         {steering.ResultTimeout, http.StatusGatewayTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestProxy(t, true, func(context.Context, serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
				return steering.Attempt{Result: c.result}, nil
			})
			got := sendRequest(t, http.MethodPost, p.URL+"/a/x", "data")
			if got.status != c.want {
				t.Errorf("status is %d, want %d", got.status, c.want)
			}
			if c.want == http.StatusServiceUnavailable {
				expectRetryAfter(t, got)
			}
		})
	}
}

func TestUnknownPathIsNotFound(t *testing.T) {
	p := newTestProxy(t, true, nil)
	if got := sendRequest(t, http.MethodGet, p.URL+"/b/x", ""); got.status != http.StatusNotFound {
		t.Errorf("status is %d, want 404", got.status)
	}
}

func TestBodyOverLimitIsRejected(t *testing.T) {
	p := newTestProxy(t, true, nil)
	for _, length := range []int{101, 100_000} {
		if got := sendRequest(t, http.MethodPost, p.URL+"/a/x", strings.Repeat("x", length)); got.status != http.StatusRequestEntityTooLarge {
			t.Errorf("%d bytes: status is %d, want 413", length, got.status)
		}
	}
}

// Guards against bodies that are each within the limit but together exceed the memory of the proxy.
// The excess must be rejected as not run and with Retry-After; before, the process was killed with
// all its requests.
func TestBodiesBeyondMemoryAreRejectedAsNotRun(t *testing.T) {
	entered, leave := make(chan bool, 1), make(chan bool)
	p := newTestProxy(t, true, func(context.Context, serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
		entered <- true
		<-leave
		return steering.Attempt{Result: steering.ResultResponded}, &serverhttp.Response{Status: http.StatusOK, Body: &bodies.Body{}}
	})
	body := strings.Repeat("x", 100)
	first := make(chan fullResponse, 1)
	go func() { first <- sendRequest(t, http.MethodPost, p.URL+"/a/x", body) }()
	<-entered
	if got := sendRequest(t, http.MethodPost, p.URL+"/a/x", body); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("second body: status is %d, Retry-After is %q, want 503 and a time", got.status, got.header.Get("Retry-After"))
	}
	leave <- true
	if got := <-first; got.status != http.StatusOK {
		t.Errorf("first body: status is %d, want 200", got.status)
	}
	go func() { <-entered; leave <- true }()
	if got := sendRequest(t, http.MethodPost, p.URL+"/a/x", body); got.status != http.StatusOK {
		t.Errorf("body after the first is released: status is %d, want 200", got.status)
	}
}

// Guards against rejecting requests that arrive some milliseconds before the first read of the
// store has completed, as after a power loss of all VMs: the callers would all retry later, at the
// same time.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	configured := make(chan struct{})
	p := startTestProxy(t, false, func(context.Context, serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
		return steering.Attempt{Result: steering.ResultResponded}, &serverhttp.Response{Status: http.StatusOK, Body: &bodies.Body{}}
	}, time.Now(), configured)
	answered := make(chan int, 1)
	go func() { answered <- sendRequest(t, http.MethodGet, p.URL+"/a/x", "").status }()
	time.Sleep(configurationTimeout / 10)
	p.configure()
	close(configured)
	if got := <-answered; got != http.StatusOK {
		t.Errorf("status is %d, want 200", got)
	}
}

// Checks that without a store or a peer, requests just after the start wait for a configuration
// only briefly, and later ones not at all.
func TestWaitForConfigurationTimesOut(t *testing.T) {
	p := startTestProxy(t, false, nil, time.Now(), make(chan struct{}))
	for range 2 {
		got := sendRequest(t, http.MethodGet, p.URL+"/a/x", "")
		if got.status != http.StatusServiceUnavailable {
			t.Errorf("status is %d, want 503", got.status)
		}
		expectRetryAfter(t, got)
	}
}

// Checks that the forwarded deadline is the earlier of those of the caller and of the route.
func TestDeadlineIsForwarded(t *testing.T) {
	var left time.Duration
	p := newTestProxy(t, true, func(_ context.Context, r serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
		left = time.Until(r.Deadline)
		return steering.Attempt{Result: steering.ResultResponded}, &serverhttp.Response{Status: http.StatusOK, Body: &bodies.Body{}}
	})
	sendRequest(t, http.MethodGet, p.URL+"/a/x", "")
	if left <= 0 || left > 700*time.Millisecond {
		t.Errorf("the server has %s, want at most the caller's 700 ms", left)
	}
}

// Guards against a request that keeps running on the server after its caller has disconnected.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	ended := make(chan time.Duration, 1)
	p := newTestProxy(t, true, func(ctx context.Context, _ serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
		began := time.Now()
		<-ctx.Done()
		ended <- time.Since(began)
		return steering.Attempt{Result: steering.ResultCallerGone}, nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL+"/a/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	if response, err := http.DefaultClient.Do(r); err == nil {
		_ = response.Body.Close()
		t.Error("the caller got a response, want none")
	}
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Error("the attempt continues after the caller has disconnected")
	}
}

func TestStoppingProxyClosesConnections(t *testing.T) {
	p := newTestProxy(t, true, respondWith(steering.ResultResponded, http.StatusOK, "fine"))
	p.stopping = true
	if got := sendRequest(t, http.MethodGet, p.URL+"/a/x", ""); !got.close || got.body != "fine" {
		t.Errorf("connection closes: %t, body %q; want the response and a close", got.close, got.body)
	}
}

// Guards against a request that is repeated although it must not be: an encoded slash in its path
// selected the route of another one.
func TestRouteIsSelectedByPathAsSent(t *testing.T) {
	route := func(name, prefix string, idempotent bool) *routing.Route {
		return &routing.Route{
			Name: name, Host: "127.0.0.1", Prefix: prefix, Idempotent: idempotent, Attempts: 2, Timeout: time.Second, Target: time.Second,
			Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
		}
	}
	for target, want := range map[string]int{
		"/bids/open%2F7":     1,
		"/bids/open%2f7?x=1": 1,
		"/bids/open/7":       2,
		"/bids/open/a%2Fb":   2,
		"/bids/7":            1,
	} {
		var sends atomic.Int32
		p := newTestProxy(t, true, func(context.Context, serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
			sends.Add(1)
			return steering.Attempt{Result: steering.ResultConnectionLost}, nil
		})
		p.mu.Lock()
		p.kernel = steering.New(steering.Config{
			Name: "p", Domain: "a", Region: "r", RegionOf: map[string]string{"a": "r"},
			Bounds: steering.Bounds{Retry: steering.RetryBudget{Ratio: 50, Slack: 60, Window: 10 * time.Second}},
		})
		p.kernel.SetTable(routing.NewTable(2, []*routing.Route{route("bids", "/bids/", false), route("open", "/bids/open/", true)}, nil, routing.Limits{}))
		for i, id := range []string{"s1", "s2"} {
			p.kernel.RegisterServer(time.Now(), routing.Server{ID: id, Service: "service", Domain: "a", Slots: 4, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))})
		}
		p.mu.Unlock()
		sendRequest(t, http.MethodPost, p.URL+target, "")
		if got := int(sends.Load()); got != want {
			t.Errorf("%s: sent %d times after the connection was lost, want %d", target, got, want)
		}
	}
}
