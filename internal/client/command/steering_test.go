package command

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
)

// Guards against events being missed at a proxy that is not registered in the store: it still
// serves but lists no proxies, not even itself, so a query of the listed proxies finds nothing.
func TestExplainQueriesUnregisteredProxy(t *testing.T) {
	s := steeringhttp.Server{
		Status: func() steeringhttp.Status { return steeringhttp.Status{VM: "vm-1"} },
		Events: func(id string) []steeringhttp.Event {
			return []steeringhttp.Event{{VM: "vm-1", Request: id, Reason: "no-server"}}
		},
		Metrics: metrics.NewSet(),
	}
	server := httptest.NewServer(s.HTTPServer().Handler)
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

// If a proxy does not respond, the JSON output must list it: an empty list of events alone would
// tell a script that the request is unknown.
func TestJSONListsUnreachableProxies(t *testing.T) {
	s := steeringhttp.Server{
		Status: func() steeringhttp.Status {
			return steeringhttp.Status{VM: "vm-1", Proxies: []steeringhttp.Proxy{{Name: "vm-2", OperatorAddress: netip.MustParseAddrPort("127.0.0.1:1")}}}
		},
		Events:  func(string) []steeringhttp.Event { return nil },
		Metrics: metrics.NewSet(),
	}
	server := httptest.NewServer(s.HTTPServer().Handler)
	defer server.Close()
	var out strings.Builder
	code := Run(context.Background(), Arguments{
		JSON: true, Proxies: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))},
		Steering: &SteeringArguments{Explain: &SteeringExplainArguments{Request: "r-1"}},
	}, &out, io.Discard)
	var got EventsOutput
	if err := json.Unmarshal([]byte(out.String()), &got); err != nil {
		t.Fatal(err)
	}
	if code != ExitOK || got.Events == nil || len(got.Unanswered) != 1 || got.Unanswered[0].Proxy != "vm-2" {
		t.Errorf("exit code %d, got %s; want no events and vm-2 unanswered", code, out.String())
	}
}

// Guards against the usage at one proxy being reported as the total, and against accounts
// appearing unused because a proxy did not respond.
func TestAccountUsageIsSummedOverProxies(t *testing.T) {
	newServer := func(admitted, refused uint64) steeringhttp.Server {
		return steeringhttp.Server{Metrics: metrics.NewSet(), Status: func() steeringhttp.Status {
			return steeringhttp.Status{Accounts: []steeringhttp.Account{
				{Name: "anna", Keys: []string{"0badc0de"}, LimitPerSecond: 5, PerSecond: 2, Admitted: admitted, Rejected: refused}, {Name: "bruno"},
			}}
		}}
	}
	one, two := newServer(3, 1), newServer(4, 0)
	second := httptest.NewServer(two.HTTPServer().Handler)
	defer second.Close()
	status := one.Status()
	one.Status = func() steeringhttp.Status {
		status.VM = "vm-1"
		status.Proxies = []steeringhttp.Proxy{
			{Name: "vm-2", OperatorAddress: netip.MustParseAddrPort(strings.TrimPrefix(second.URL, "http://"))},
			{Name: "vm-3", OperatorAddress: netip.MustParseAddrPort("127.0.0.1:1")},
		}
		return status
	}
	first := httptest.NewServer(one.HTTPServer().Handler)
	defer first.Close()
	var out strings.Builder
	code := Run(context.Background(), Arguments{
		JSON: true, Proxies: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(first.URL, "http://"))},
		Steering: &SteeringArguments{Accounts: &SteeringAccountsArguments{Refused: true}},
	}, &out, io.Discard)
	var got AccountsOutput
	if err := json.Unmarshal([]byte(out.String()), &got); err != nil {
		t.Fatal(err)
	}
	if code != ExitOK || len(got.Accounts) != 1 || got.Accounts[0].Admitted != 7 || got.Accounts[0].Rejected != 1 || got.Accounts[0].PerSecond != 4 {
		t.Errorf("exit code %d, got %s; want only anna, 7 admitted and 1 rejected", code, out.String())
	}
	if len(got.Unanswered) != 1 || got.Unanswered[0].Proxy != "vm-3" {
		t.Errorf("unanswered are %v, want vm-3", got.Unanswered)
	}
}

// Guards against missing a limit that only proxies other than the queried one know.
func TestSignalsAreMergedOverProxies(t *testing.T) {
	highLimit, lowLimit := 6.6, 4.0
	newServer := func(servers ...steeringhttp.BackendServer) steeringhttp.Server {
		return steeringhttp.Server{Metrics: metrics.NewSet(), Status: func() steeringhttp.Status { return steeringhttp.Status{Servers: servers} }}
	}
	one := newServer(steeringhttp.BackendServer{ID: "a", Service: "x", Limit: &highLimit}, steeringhttp.BackendServer{ID: "b", Service: "x"}, steeringhttp.BackendServer{ID: "c", Service: "y", ReportsDraining: true})
	two := newServer(steeringhttp.BackendServer{ID: "a", Service: "x", Limit: &lowLimit, PausedFor: "1s"}, steeringhttp.BackendServer{ID: "b", Service: "x", PausedFor: "2s"})
	second := httptest.NewServer(two.HTTPServer().Handler)
	defer second.Close()
	status := one.Status()
	status.VM = "vm-1"
	status.Proxies = []steeringhttp.Proxy{{Name: "vm-2", OperatorAddress: netip.MustParseAddrPort(strings.TrimPrefix(second.URL, "http://"))}}
	one.Status = func() steeringhttp.Status { return status }
	first := httptest.NewServer(one.HTTPServer().Handler)
	defer first.Close()
	var out strings.Builder
	a := Arguments{
		JSON: true, Proxies: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(first.URL, "http://"))},
		Steering: &SteeringArguments{Signals: &SteeringSignalsArguments{Service: "x"}},
	}
	code := Run(context.Background(), a, &out, io.Discard)
	var got SignalsOutput
	if err := json.Unmarshal([]byte(out.String()), &got); err != nil {
		t.Fatal(err)
	}
	want := []ServerSignals{
		{Server: "a", Service: "x", Limit: "4.0/s", Limited: 2, Pausing: 1, Known: 2},
		{Server: "b", Service: "x", Pausing: 1, Known: 1},
	}
	if code != ExitOK || !slices.Equal(got.Servers, want) {
		t.Errorf("exit code %d, got %+v, want %+v", code, got.Servers, want)
	}
}

// Losses are counted from log files; a missing file is a usage error that contains its name.
func TestLossesReadsLogFiles(t *testing.T) {
	log := filepath.Join("..", "losses", "testdata", "proxy.log")
	var out, errOut strings.Builder
	a := Arguments{Steering: &SteeringArguments{Losses: &SteeringLossesArguments{Files: []string{log}, Most: 3}}}
	if code := Run(context.Background(), a, &out, &errOut); code != ExitOK || !strings.HasPrefix(out.String(), "14 requests lost\n1 lines could not be read\n") {
		t.Errorf("exit code %d, %q", code, out.String())
	}
	a.Steering.Losses.Files = []string{"nowhere.log"}
	if code := Run(context.Background(), a, io.Discard, &errOut); code != ExitUsage || !strings.Contains(errOut.String(), "nowhere.log") {
		t.Errorf("exit code %d, %q; want the file name", code, errOut.String())
	}
}
