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
	// story is a scripted test of one or more proxies' ledgers.
	story struct {
		Story []string    `json:"story"`
		Steps []storyStep `json:"steps"`
	}

	storyStep struct {
		// At is the moment since the start, that of the step before if left out.
		At string `json:"at"`
		// Proxy is whose ledger it is about, "a" if left out.
		Proxy string `json:"proxy"`
		// Do is started, stopped, broke, answered, ended, restarted, well, tick, tell or
		// rule.
		Do     string   `json:"do"`
		Work   string   `json:"work"`
		Works  []string `json:"works"`
		Server string   `json:"server"`
		// Sent is how long before an answer its request was sent.
		Sent string `json:"sent"`
		// To is the proxy that is told, Rank the place in the order of trials.
		To   string `json:"to"`
		Rank int    `json:"rank"`
		// Want is clear, suspected, busy or condemned.
		Want string `json:"want"`
	}
)

var (
	rulings = map[Status]string{Clear: "clear", Suspected: "suspected", Busy: "busy", Quarantined: "condemned"}
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
	var s story
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		t.Fatal(err)
	}
	if n := len(s.Story); n < 2 || n > 5 {
		t.Errorf("the story has %d lines, want two to five", n)
	}
	start := time.Unix(1_000_000, 0)
	now := start
	ledgers := make(map[string]*Tracker)
	of := func(name string) *Tracker {
		if name == "" {
			name = "a"
		}
		if ledgers[name] == nil {
			ledgers[name] = NewTracker()
		}
		return ledgers[name]
	}
	for i, step := range s.Steps {
		if step.At != "" {
			now = start.Add(span(t, step.At))
		}
		works := step.Works
		if step.Work != "" {
			works = append(works, step.Work)
		}
		if len(works) == 0 {
			works = []string{""}
		}
		for _, w := range works {
			play(t, i, now, of, step, NewFingerprint("GET", "host", w, "", nil))
		}
	}
}

func span(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func play(t *testing.T, i int, now time.Time, of func(string) *Tracker, s storyStep, w Fingerprint) {
	t.Helper()
	l, server := of(s.Proxy), NewInstanceID(s.Server, time.Time{})
	switch s.Do {
	case "started":
		l.RecordStart(w)
	case "stopped":
		l.RecordStop(w)
	case "broke":
		l.RecordConnectionLoss(now, w, server)
	case "answered":
		l.RecordResponse(server, now.Add(-span(t, s.Sent)))
	case "ended":
		l.RecordServerGone(now, server)
	case "restarted":
		l.RecordServerRestart(now, server)
	case "well":
		l.RecordSuccess(now, w)
	case "tick":
		l.Tick(now)
	case "tell":
		of(s.To).Merge(now, l.Reports(now, false))
	case "tell-all":
		of(s.To).Merge(now, l.Reports(now, true))
	case "rule":
		l.TrialRank = func(Fingerprint) int { return s.Rank }
		if got, _ := l.Status(now, w); rulings[got] != s.Want {
			t.Errorf("step %d: got %s, want %s", i, rulings[got], s.Want)
		}
	default:
		t.Fatalf("step %d: %q is nothing to do", i, s.Do)
	}
}
