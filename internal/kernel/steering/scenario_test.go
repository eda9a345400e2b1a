package steering

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

type (
	// scenario is a scripted test: a sequence of events and the expected decision of the kernel at
	// each.
	scenario struct {
		Description []string         `json:"story"`
		ProxyDomain string           `json:"proxy-domain"`
		ProxyCount  int              `json:"proxies"`
		Route       scenarioRoute    `json:"route"`
		Servers     []scenarioServer `json:"servers"`
		// Accounts are the client accounts of the first table.
		Accounts []scenarioAccount `json:"accounts"`
		Steps    []scenarioStep    `json:"steps"`
	}

	scenarioAccount struct {
		Name    string   `json:"name"`
		Keys    []string `json:"keys"`
		Regions []string `json:"regions"`
		// PerSecond and Burst are the rate limit of the account.
		PerSecond float64 `json:"per-second"`
		Burst     float64 `json:"burst"`
	}

	scenarioRoute struct {
		Idempotent bool     `json:"idempotent"`
		Attempts   int      `json:"attempts"`
		Timeout    string   `json:"timeout"`
		Regions    []string `json:"regions"`
		Public     bool     `json:"public"`
	}

	scenarioServer struct {
		ID       string `json:"id"`
		Domain   string `json:"domain"`
		Slots    int    `json:"slots"`
		ColdFor  string `json:"cold"`
		Draining bool   `json:"drains"`
		// Started is the start time in milliseconds, which distinguishes restarts under one ID.
		Started int64 `json:"started"`
	}

	scenarioStep struct {
		At           string `json:"at"`
		TableVersion uint64 `json:"table"`
		// Accounts replace the previous ones. They take effect with a table of the same step.
		Accounts      []scenarioAccount `json:"accounts"`
		Key           string            `json:"key"`
		Refused       bool              `json:"refused"`
		Server        *scenarioServer   `json:"server"`
		Remove        string            `json:"remove"`
		Absent        string            `json:"absent"`
		Unreadable    string            `json:"unreadable"`
		AbsentFor     string            `json:"for"`
		Evacuate      string            `json:"evacuate"`
		EndEvacuation string            `json:"take-back"`
		Request       string            `json:"request"`
		Object        string            `json:"object"`
		Path          string            `json:"path"`
		End           string            `json:"end"`
		Result        string            `json:"result"`
		Load          []int             `json:"load"`
		Draining      bool              `json:"leaving"`
		ClaimsNotRun  bool              `json:"claims-not-run"`
		Repeat        int               `json:"repeat"`
		// Want is a server ID, "any", "same" or "other" (than in the previous attempt), "not ID",
		// "answer", "not-run REASON" or "may-have-run REASON".
		Want string `json:"want"`
	}

	scenarioRun struct {
		t          *testing.T
		scenario   scenario
		kernel     *Kernel
		now        time.Time
		requests   map[string]*ActiveRequest
		lastServer map[string]string
	}
)

var (
	// ampleRetries lets a proxy retry as soon as it has sent a request, for tests of other decisions.
	ampleRetries  = RetryBudget{Ratio: 50, Slack: 60, Window: 10 * time.Second}
	resultsByName = map[string]Result{
		"answered": ResultResponded, "failed": ResultServerError, "refused": ResultRejected, "mistaken": ResultWrongServer,
		"unreachable": ResultUnreachable, "broken": ResultConnectionLost, "late": ResultTimeout, "left": ResultCallerGone, "withheld": ResultNotSent,
	}
)

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) { runScenario(t, file) })
	}
}

func runScenario(t *testing.T, file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	r := &scenarioRun{t: t, now: time.Unix(1_000_000, 0), requests: make(map[string]*ActiveRequest), lastServer: make(map[string]string)}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r.scenario); err != nil {
		t.Fatal(err)
	}
	if n := len(r.scenario.Description); n < 1 || n > 5 {
		t.Errorf("the description has %d lines, want one to five", n)
	}
	r.setUp()
	start := r.now
	for i, s := range r.scenario.Steps {
		if at := parseDuration(t, s.At); at > 0 {
			r.now = start.Add(at)
		}
		for range max(1, s.Repeat) {
			r.runStep(i, s)
		}
	}
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func (r *scenarioRun) setUp() {
	domain := r.scenario.ProxyDomain
	if domain == "" {
		domain = "north-a"
	}
	r.kernel = New(Config{
		Name: "proxy-0", Domain: domain, Region: regionOf[domain], RegionOf: regionOf,
		Bounds: Bounds{Retry: ampleRetries, ColdFactor: 1.5, ColdSlack: 5},
	})
	var proxies []Proxy
	for i := 1; i < r.scenario.ProxyCount; i++ {
		proxies = append(proxies, Proxy{Name: "proxy-" + string(rune('0'+i)), Domain: domain, Region: regionOf[domain]})
	}
	r.kernel.SetProxies(r.now, proxies)
	for _, s := range r.scenario.Servers {
		r.register(s)
	}
}

var (
	regionOf = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}
)

func (r *scenarioRun) register(s scenarioServer) {
	slots := s.Slots
	if slots == 0 {
		slots = 4
	}
	server := routing.Server{
		ID: s.ID, Service: "service", Domain: s.Domain, Slots: slots, Draining: s.Draining, ColdFor: parseDuration(r.t, s.ColdFor),
	}
	if s.Started > 0 {
		server.Started = time.UnixMilli(s.Started)
	}
	r.kernel.RegisterServer(r.now, server)
}

func (r *scenarioRun) setTable(version uint64) bool {
	route := &routing.Route{
		Name: "route", Host: "host", Prefix: "/a/", Idempotent: r.scenario.Route.Idempotent, Sticky: true,
		Attempts: max(1, r.scenario.Route.Attempts), Timeout: parseDuration(r.t, r.scenario.Route.Timeout), Target: 500 * time.Millisecond,
		Regions: r.scenario.Route.Regions, Public: r.scenario.Route.Public, Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}
	if route.Timeout == 0 {
		route.Timeout = 2 * time.Second
	}
	service := &routing.Service{Name: "service", ColdStart: 3 * time.Second, ColdPerSecond: 3.1}
	table := routing.NewTable(version, []*routing.Route{route}, []*routing.Service{service}, routing.Limits{})
	if len(r.scenario.Accounts) > 0 {
		table.WithAccounts(r.accountTable())
	}
	return r.kernel.SetTable(table)
}

func (r *scenarioRun) accountTable() *account.Table {
	var list []*account.Account
	for _, s := range r.scenario.Accounts {
		a := &account.Account{Name: s.Name, Regions: s.Regions, Limit: ratelimit.Limit{PerSecond: s.PerSecond, Burst: s.Burst}}
		for _, text := range s.Keys {
			a.Keys = append(a.Keys, accountKey(r.t, text))
		}
		list = append(list, a)
	}
	table, _ := account.NewTable(list)
	return table
}

func accountKey(t *testing.T, text string) account.Key {
	t.Helper()
	key, ok := account.HashKey(text)
	if !ok {
		t.Fatalf("%q is not a valid key", text)
	}
	return key
}

// credential returns the credential of a step's request, which is empty if the step has no key.
func (r *scenarioRun) credential(s scenarioStep) account.Credential {
	if s.Key == "" {
		return account.Credential{}
	}
	return account.Credential{State: account.CredentialPresent, Key: accountKey(r.t, s.Key)}
}

func (r *scenarioRun) runStep(i int, s scenarioStep) {
	switch {
	case s.TableVersion > 0:
		if s.Accounts != nil {
			r.scenario.Accounts = s.Accounts
		}
		if got := r.setTable(s.TableVersion); got == s.Refused {
			r.t.Errorf("step %d: version %d accepted: %t", i, s.TableVersion, got)
		}
	case s.Server != nil:
		r.register(*s.Server)
	case s.Remove != "":
		r.kernel.RemoveServer(r.now, s.Remove)
	case s.Absent != "":
		r.kernel.MarkServerAbsent(s.Absent, r.now.Add(parseDuration(r.t, s.AbsentFor)))
	case s.Unreadable != "":
		r.kernel.MarkServerUnreadable(s.Unreadable)
	case s.Evacuate != "":
		r.kernel.SetDomainEvacuated(r.now, s.Evacuate, true)
	case s.EndEvacuation != "":
		r.kernel.SetDomainEvacuated(r.now, s.EndEvacuation, false)
	case s.Request != "":
		r.kernel.Tick(r.now)
		path := s.Path
		if path == "" {
			path = "/a/x"
		}
		req, d := r.kernel.BeginRequest(r.now, Request{ID: s.Request, Host: "host", Path: path, Object: s.Object, Credential: r.credential(s), Deadline: r.now.Add(4 * time.Second)})
		r.requests[s.Request] = req
		r.checkDecision(i, s.Request, s.Want, d)
	case s.End != "":
		a := Attempt{Result: resultsByName[s.Result], Signal: backpressure.Signal{Draining: s.Draining}, ClaimsNotRun: s.ClaimsNotRun}
		if len(s.Load) == 2 {
			a.Loaded, a.Running, a.Waiting = true, s.Load[0], s.Load[1]
		}
		r.checkDecision(i, s.End, s.Want, r.kernel.EndAttempt(r.now, r.requests[s.End], a))
	}
}

func (r *scenarioRun) checkDecision(i int, id, want string, d Decision) {
	r.t.Helper()
	got := describeDecision(d)
	excluded, negated := strings.CutPrefix(want, "not ")
	switch {
	case want == "any" && d.Server != nil:
	case want == "same" && d.Server != nil && d.Server.ID == r.lastServer[id]:
	case want == "other" && d.Server != nil && d.Server.ID != r.lastServer[id]:
	case negated && d.Server != nil && d.Server.ID != excluded:
	case got == want:
	default:
		r.t.Errorf("step %d, request %s: got %q, want %q", i, id, got, want)
	}
	if d.NotRun && d.Reason != ReasonNoRoute && d.Reason != ReasonNoAccount && d.RetryAfter <= 0 {
		r.t.Errorf("step %d, request %s: rejected without a retry delay", i, id)
	}
	if d.Server != nil {
		r.lastServer[id] = d.Server.ID
	}
}

func describeDecision(d Decision) string {
	switch {
	case d.Server != nil:
		return d.Server.ID
	case d.ReturnResponse:
		return "answer"
	case d.NotRun:
		return "not-run " + string(d.Reason)
	}
	return "may-have-run " + string(d.Reason)
}
