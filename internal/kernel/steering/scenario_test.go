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
	// story is a scripted test: what happens in which order, and what the
	// kernel must decide at each step.
	story struct {
		Story   []string      `json:"story"`
		Proxy   string        `json:"proxy-domain"`
		Proxies int           `json:"proxies"`
		Route   storyRoute    `json:"route"`
		Servers []storyServer `json:"servers"`
		// Accounts are in force with the first table.
		Accounts []storyAccount `json:"accounts"`
		Steps    []storyStep    `json:"steps"`
	}

	storyAccount struct {
		Name    string   `json:"name"`
		Keys    []string `json:"keys"`
		Regions []string `json:"regions"`
		// PerSecond and Burst are its limit.
		PerSecond float64 `json:"per-second"`
		Burst     float64 `json:"burst"`
	}

	storyRoute struct {
		Idempotent bool     `json:"idempotent"`
		Attempts   int      `json:"attempts"`
		Timeout    string   `json:"timeout"`
		Regions    []string `json:"regions"`
		Public     bool     `json:"public"`
	}

	storyServer struct {
		ID     string `json:"id"`
		Domain string `json:"domain"`
		Slots  int    `json:"slots"`
		Cold   string `json:"cold"`
		Drains bool   `json:"drains"`
		// Started tells starts under one id apart, in milliseconds.
		Started int64 `json:"started"`
	}

	storyStep struct {
		At    string `json:"at"`
		Table uint64 `json:"table"`
		// Accounts replace those before, together with a table.
		Accounts []storyAccount `json:"accounts"`
		Key      string         `json:"key"`
		Refused  bool           `json:"refused"`
		Server   *storyServer   `json:"server"`
		Remove   string         `json:"remove"`
		Absent   string         `json:"absent"`
		Garbled  string         `json:"unreadable"`
		For      string         `json:"for"`
		Empty    string         `json:"evacuate"`
		Fill     string         `json:"take-back"`
		Request  string         `json:"request"`
		Object   string         `json:"object"`
		Path     string         `json:"path"`
		End      string         `json:"end"`
		Result   string         `json:"result"`
		Load     []int          `json:"load"`
		Leaving  bool           `json:"leaving"`
		Repeat   int            `json:"repeat"`
		// Want is a server's id, "any", "not ID", "answer", "not-run REASON"
		// or "may-have-run REASON".
		Want string `json:"want"`
	}

	storyRun struct {
		t       *testing.T
		story   story
		kernel  *Kernel
		now     time.Time
		flights map[string]*ActiveRequest
		sent    map[string]string
	}
)

var (
	results = map[string]Result{
		"answered": ResultAnswered, "failed": ResultServerError, "refused": ResultRefused, "mistaken": ResultWrongServer,
		"unreachable": ResultUnreachable, "broken": ResultConnectionLost, "late": ResultTimeout, "left": ResultCallerGone, "withheld": ResultNotSent,
	}
)

func TestStories(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no stories: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) { playStory(t, file) })
	}
}

func playStory(t *testing.T, file string) {
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	r := &storyRun{t: t, now: time.Unix(1_000_000, 0), flights: make(map[string]*ActiveRequest), sent: make(map[string]string)}
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r.story); err != nil {
		t.Fatal(err)
	}
	if n := len(r.story.Story); n < 1 || n > 5 {
		t.Errorf("the story has %d lines, want one to five", n)
	}
	r.begin()
	start := r.now
	for i, s := range r.story.Steps {
		if at := span(t, s.At); at > 0 {
			r.now = start.Add(at)
		}
		for range max(1, s.Repeat) {
			r.step(i, s)
		}
	}
}

func span(t *testing.T, text string) time.Duration {
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

func (r *storyRun) begin() {
	domain := r.story.Proxy
	if domain == "" {
		domain = "north-a"
	}
	r.kernel = New(Config{
		Name: "proxy-0", Domain: domain, Region: regionOf[domain], RegionOf: regionOf,
		Bounds: Bounds{Retry: RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}, ColdFactor: 1.5, ColdSlack: 5},
	})
	var proxies []Proxy
	for i := 1; i < r.story.Proxies; i++ {
		proxies = append(proxies, Proxy{Name: "proxy-" + string(rune('0'+i)), Domain: domain, Region: regionOf[domain]})
	}
	r.kernel.SetProxies(r.now, proxies)
	for _, s := range r.story.Servers {
		r.register(s)
	}
}

var (
	regionOf = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}
)

func (r *storyRun) register(s storyServer) {
	slots := s.Slots
	if slots == 0 {
		slots = 4
	}
	server := routing.Server{
		ID: s.ID, Service: "service", Domain: s.Domain, Slots: slots, Draining: s.Drains, ColdFor: span(r.t, s.Cold),
	}
	if s.Started > 0 {
		server.Started = time.UnixMilli(s.Started)
	}
	r.kernel.RegisterServer(r.now, server)
}

func (r *storyRun) table(version uint64) bool {
	route := &routing.Route{
		Name: "route", Host: "host", Prefix: "/a/", Idempotent: r.story.Route.Idempotent, Sticky: true,
		Attempts: max(1, r.story.Route.Attempts), Timeout: span(r.t, r.story.Route.Timeout), Target: 500 * time.Millisecond,
		Regions: r.story.Route.Regions, Public: r.story.Route.Public, Parts: []routing.Part{{Service: "service", Weight: 1}},
	}
	if route.Timeout == 0 {
		route.Timeout = 2 * time.Second
	}
	service := &routing.Service{Name: "service", ColdStart: 3 * time.Second, ColdPerSecond: 3.1}
	table := routing.NewTable(version, []*routing.Route{route}, []*routing.Service{service}, routing.Limits{})
	if len(r.story.Accounts) > 0 {
		table.WithAccounts(r.accounts())
	}
	return r.kernel.SetTable(table)
}

func (r *storyRun) accounts() *account.Table {
	var list []*account.Account
	for _, s := range r.story.Accounts {
		a := &account.Account{Name: s.Name, Regions: s.Regions, Limit: ratelimit.Limit{PerSecond: s.PerSecond, Burst: s.Burst}}
		for _, text := range s.Keys {
			a.Keys = append(a.Keys, keyOf(r.t, text))
		}
		list = append(list, a)
	}
	table, _ := account.NewTable(list)
	return table
}

func keyOf(t *testing.T, text string) account.Key {
	t.Helper()
	key, ok := account.KeyOf(text)
	if !ok {
		t.Fatalf("%q is no key", text)
	}
	return key
}

// credential is what a request carries; without a key in the step it carries none.
func (r *storyRun) credential(s storyStep) account.Credential {
	if s.Key == "" {
		return account.Credential{}
	}
	return account.Credential{State: account.Present, Key: keyOf(r.t, s.Key)}
}

func (r *storyRun) step(i int, s storyStep) {
	switch {
	case s.Table > 0:
		if s.Accounts != nil {
			r.story.Accounts = s.Accounts
		}
		if got := r.table(s.Table); got == s.Refused {
			r.t.Errorf("step %d: version %d in force is %t", i, s.Table, got)
		}
	case s.Server != nil:
		r.register(*s.Server)
	case s.Remove != "":
		r.kernel.RemoveServer(r.now, s.Remove)
	case s.Absent != "":
		r.kernel.MarkServerAbsent(s.Absent, r.now.Add(span(r.t, s.For)))
	case s.Garbled != "":
		r.kernel.MarkServerUnreadable(s.Garbled)
	case s.Empty != "":
		r.kernel.SetDomainEvacuated(r.now, s.Empty, true)
	case s.Fill != "":
		r.kernel.SetDomainEvacuated(r.now, s.Fill, false)
	case s.Request != "":
		r.kernel.Tick(r.now)
		path := s.Path
		if path == "" {
			path = "/a/x"
		}
		f, d := r.kernel.BeginRequest(r.now, Request{ID: s.Request, Host: "host", Path: path, Object: s.Object, Credential: r.credential(s), Deadline: r.now.Add(4 * time.Second)})
		r.flights[s.Request] = f
		r.check(i, s.Request, s.Want, d)
	case s.End != "":
		a := Attempt{Result: results[s.Result], Signal: backpressure.Signal{Draining: s.Leaving}}
		if len(s.Load) == 2 {
			a.Loaded, a.Running, a.Waiting = true, s.Load[0], s.Load[1]
		}
		r.check(i, s.End, s.Want, r.kernel.EndAttempt(r.now, r.flights[s.End], a))
	}
}

func (r *storyRun) check(i int, id, want string, d Decision) {
	r.t.Helper()
	got := describe(d)
	not, negated := strings.CutPrefix(want, "not ")
	switch {
	case want == "any" && d.Server != nil:
	case want == "same" && d.Server != nil && d.Server.ID == r.sent[id]:
	case want == "other" && d.Server != nil && d.Server.ID != r.sent[id]:
	case negated && d.Server != nil && d.Server.ID != not:
	case got == want:
	default:
		r.t.Errorf("step %d, request %s: got %q, want %q", i, id, got, want)
	}
	if d.NotRun && d.Reason != ReasonNoRoute && d.Reason != ReasonNoAccount && d.RetryAfter <= 0 {
		r.t.Errorf("step %d, request %s: refused without a time to come back", i, id)
	}
	if d.Server != nil {
		r.sent[id] = d.Server.ID
	}
}

func describe(d Decision) string {
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
