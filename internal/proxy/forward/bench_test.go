package forward

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/forwardhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/logs"
)

// BenchmarkRequest forwards requests over loopback: without logging, with successful requests
// sampled as in production, and with every request logged in detail.
func BenchmarkRequest(b *testing.B) {
	buffer := logs.NewBuffer(io.Discard, 4096)
	logs.Setup(buffer, 0)
	for _, c := range []struct {
		name    string
		observe func(*Daemon) func(steering.Event)
	}{
		{"silent", func(*Daemon) func(steering.Event) { return func(steering.Event) {} }},
		{"sampled", func(d *Daemon) func(steering.Event) { return d.decisionLog.handleEvent }},
		{"written", func(d *Daemon) func(steering.Event) {
			return func(e steering.Event) {
				d.decisionLog.detailedCount, e.Attempt = 0, 2
				d.decisionLog.handleEvent(e)
			}
		}},
	} {
		b.Run(c.name, func(b *testing.B) { benchmarkRequest(b, c.observe) })
	}
}

func benchmarkRequest(b *testing.B, observe func(*Daemon) func(steering.Event)) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt", r.Header.Get("Attempt"))
		w.Header().Set("Seal", "s")
	}))
	defer backend.Close()
	names := WireNames{
		CallerHeaders: forwardhttp.Headers{AttemptID: "Attempt", Deadline: "Wait", ObjectCookie: "Object"},
		ServerHeaders: serverhttp.Headers{AttemptID: "Attempt", Deadline: "Left", InstanceID: "Instance", Load: "Load", NotRun: "Not-Run", Seal: "Seal"},
	}
	d, err := New(&Settings{Name: "p", Domain: "a", Region: "north", RegionOf: map[string]string{"a": "north"}}, Dependencies{Names: names, DroppedLogLines: func() uint64 { return 0 }})
	if err != nil {
		b.Fatal(err)
	}
	d.kernel = steering.New(steering.Config{Name: "p", Domain: "a", Region: "north", RegionOf: map[string]string{"a": "north"}, Observe: observe(d)})
	route := &routing.Route{Name: "r", Host: "127.0.0.1", Prefix: "/", Attempts: 1, Timeout: time.Minute, Target: time.Minute, Parts: []routing.WeightedService{{Service: "s", Weight: 1}}}
	d.kernel.SetTable(routing.NewTable(1, []*routing.Route{route}, nil, routing.Limits{}))
	d.kernel.RegisterServer(d.now(), routing.Server{ID: "s1", Service: "s", Domain: "a", Slots: 64, Address: netip.MustParseAddrPort(backend.Listener.Addr().String())})
	front := httptest.NewServer(d.callerServer.Handler)
	defer front.Close()
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		n++
		r, err := http.NewRequest(http.MethodGet, front.URL+"/x", nil)
		if err != nil {
			b.Fatal(err)
		}
		r.Header.Set("Attempt", strconv.Itoa(n))
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatalf("status is %d, want 200", response.StatusCode)
		}
	}
}
