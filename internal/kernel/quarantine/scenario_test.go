package quarantine

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

type (
	// scenario is a scripted test of the trackers of one or more proxies.
	scenario struct {
		Description []string       `json:"story"`
		Steps       []scenarioStep `json:"steps"`
	}

	scenarioStep struct {
		// At is the time since the start. If omitted, it is that of the previous step.
		At string `json:"at"`
		// Proxy is the proxy whose tracker the step applies to, "a" if omitted.
		Proxy string `json:"proxy"`
		// Action is started, stopped, broke (a connection was lost), answered, ended (the server
		// has crashed), restarted, well (a success), tick, tell (sends reports to a peer), tell-all
		// or rule (checks the status).
		Action   string   `json:"do"`
		Request  string   `json:"work"`
		Requests []string `json:"works"`
		Server   string   `json:"server"`
		// Sent is how long before a response its request was sent.
		Sent string `json:"sent"`
		// To is the proxy that receives the reports, Rank the rank in the order of trials.
		To   string `json:"to"`
		Rank int    `json:"rank"`
		// Want is clear, suspected, busy or condemned.
		Want string `json:"want"`
	}
)

var (
	statusNames = map[Status]string{Clear: "clear", Suspected: "suspected", Busy: "busy", Quarantined: "condemned"}
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
	var s scenario
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		t.Fatal(err)
	}
	if n := len(s.Description); n < 2 || n > 5 {
		t.Errorf("the description has %d lines, want two to five", n)
	}
	start := time.Unix(1_000_000, 0)
	now := start
	trackers := make(map[string]*Tracker)
	trackerFor := func(name string) *Tracker {
		if name == "" {
			name = "a"
		}
		if trackers[name] == nil {
			trackers[name] = NewTracker()
		}
		return trackers[name]
	}
	for i, step := range s.Steps {
		if step.At != "" {
			now = start.Add(parseDuration(t, step.At))
		}
		requests := step.Requests
		if step.Request != "" {
			requests = append(requests, step.Request)
		}
		if len(requests) == 0 {
			requests = []string{""}
		}
		for _, w := range requests {
			runStep(t, i, now, trackerFor, step, NewFingerprint("GET", "host", w, "", nil))
		}
	}
}

func parseDuration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func runStep(t *testing.T, i int, now time.Time, trackerFor func(string) *Tracker, s scenarioStep, fp Fingerprint) {
	t.Helper()
	tracker, server := trackerFor(s.Proxy), NewInstanceID(s.Server, time.Time{})
	switch s.Action {
	case "started":
		tracker.RecordStart(fp)
	case "stopped":
		tracker.RecordStop(fp)
	case "broke":
		tracker.RecordConnectionLoss(now, fp, server)
	case "answered":
		tracker.RecordResponse(server, now.Add(-parseDuration(t, s.Sent)))
	case "ended":
		tracker.RecordServerGone(now, server)
	case "restarted":
		tracker.RecordServerRestart(now, server)
	case "well":
		tracker.RecordSuccess(now, fp)
	case "tick":
		tracker.Tick(now)
	case "tell":
		trackerFor(s.To).Merge(now, tracker.Reports(now, false))
	case "tell-all":
		trackerFor(s.To).Merge(now, tracker.Reports(now, true))
	case "rule":
		tracker.TrialRank = func(Fingerprint) int { return s.Rank }
		if got, _ := tracker.Status(now, fp); statusNames[got] != s.Want {
			t.Errorf("step %d: got %s, want %s", i, statusNames[got], s.Want)
		}
	default:
		t.Fatalf("step %d: unknown action %q", i, s.Action)
	}
}
