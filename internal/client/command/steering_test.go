package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
)

// The store has taken a proxy's entry away, and the proxy serves on: it lists no
// proxy, not even itself. An operator asks it about a request that it refused, and
// was told that nothing is known, for only listed proxies were asked.
func TestProxyWithoutAnEntryIsAskedToo(t *testing.T) {
	s := steeringhttp.Server{
		Status: func() steeringhttp.Status { return steeringhttp.Status{VM: "vm-1"} },
		Events: func(id string) []steeringhttp.Event {
			return []steeringhttp.Event{{VM: "vm-1", Request: id, Reason: "no-server"}}
		},
		Metrics: metrics.NewSet(),
	}
	server := httptest.NewServer(s.HTTP().Handler)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	var out strings.Builder
	code := Run(context.Background(), Arguments{
		Proxies:  []netip.AddrPort{address},
		Steering: &SteeringArguments{Explain: &SteeringExplainArguments{Request: "r-1"}},
	}, &out, io.Discard)
	if code != ExitOK || !strings.Contains(out.String(), "reason=no-server") {
		t.Errorf("exit code %d, %q; want the reason no-server", code, out.String())
	}
}

// A proxy does not answer while an operator asks for a request's cause by a script.
// Printed without a word on it, an empty list would say that nothing is known.
func TestJSONNamesProxiesThatDidNotAnswer(t *testing.T) {
	s := steeringhttp.Server{
		Status: func() steeringhttp.Status {
			return steeringhttp.Status{VM: "vm-1", Proxies: []steeringhttp.Proxy{{Name: "vm-2", Operators: netip.MustParseAddrPort("127.0.0.1:1")}}}
		},
		Events:  func(string) []steeringhttp.Event { return nil },
		Metrics: metrics.NewSet(),
	}
	server := httptest.NewServer(s.HTTP().Handler)
	defer server.Close()
	var out strings.Builder
	code := Run(context.Background(), Arguments{
		JSON: true, Proxies: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
		Steering: &SteeringArguments{Explain: &SteeringExplainArguments{Request: "r-1"}},
	}, &out, io.Discard)
	var got EventsAnswer
	if err := json.Unmarshal([]byte(out.String()), &got); err != nil {
		t.Fatal(err)
	}
	if code != ExitOK || got.Events == nil || len(got.Unanswered) != 1 || got.Unanswered[0].Proxy != "vm-2" {
		t.Errorf("exit code %d, got %s; want no events and vm-2 unanswered", code, out.String())
	}
}

// An engineer counts what callers lost from the logs of a bad minute, and misspells
// a file's name. The count is printed, and the error names the file.
func TestLossesFromLogFiles(t *testing.T) {
	log := filepath.Join("..", "losses", "testdata", "proxy.log")
	var out, complaints strings.Builder
	a := Arguments{Steering: &SteeringArguments{Losses: &SteeringLossesArguments{Files: []string{log}, Most: 3}}}
	if code := Run(context.Background(), a, &out, &complaints); code != ExitOK || !strings.HasPrefix(out.String(), "14 requests lost\n1 lines could not be read\n") {
		t.Errorf("exit code %d, %q", code, out.String())
	}
	a.Steering.Losses.Files = []string{"nowhere.log"}
	if code := Run(context.Background(), a, io.Discard, &complaints); code != ExitUsage || !strings.Contains(complaints.String(), "nowhere.log") {
		t.Errorf("exit code %d, %q; want the file named", code, complaints.String())
	}
}
