package forward

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/logs"
)

type (
	// logged is what the journal wrote of requests.
	logged struct {
		Message string         `json:"msg"`
		Request string         `json:"request"`
		Reason  string         `json:"reason"`
		Tried   string         `json:"tried"`
		Counts  map[string]int `json:"counts"`
	}

	// testLog takes the log of all tests: the logger is the process's, and one that
	// was replaced by a test would be read by goroutines of others that are still
	// ending. They may write while a test reads what it has caused.
	testLog struct {
		mu   sync.Mutex
		kept *bytes.Buffer
	}
)

var (
	processLog testLog
)

// TestMain sets the logger up before any goroutine uses it.
func TestMain(m *testing.M) {
	logs.Setup(&processLog, 0)
	os.Exit(m.Run())
}

// Write implements io.Writer.
func (l *testLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kept == nil {
		return os.Stderr.Write(p)
	}
	return l.kept.Write(p)
}

// keep keeps what is written from now on, or no longer, and returns what was kept.
func (l *testLog) keep(on bool) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.kept
	l.kept = nil
	if on {
		l.kept = &bytes.Buffer{}
	}
	if kept == nil {
		return nil
	}
	return kept.Bytes()
}

// journalLines has a journal take in events and reads what it wrote.
func journalLines(t *testing.T, play func(j *journal, clock *time.Time)) []logged {
	t.Helper()
	processLog.keep(true)
	clock := time.Unix(1_000_000, 0)
	play(newJournal("vm-1", func() time.Time { return clock }, newMeters()), &clock)
	var list []logged
	for decoder := json.NewDecoder(bytes.NewReader(processLog.keep(false))); decoder.More(); {
		var l logged
		if err := decoder.Decode(&l); err != nil {
			t.Fatal(err)
		}
		switch l.Message {
		case string(steering.EventFinished), string(steering.EventSent), string(steering.EventAttemptEnded), messageLeftOut:
			list = append(list, l)
		}
	}
	return list
}

func ended(n int, r steering.Reason) steering.Event {
	return steering.Event{
		Kind: steering.EventFinished, Request: fmt.Sprintf("r-%d", n), Outcome: steering.MayHaveRun, Reason: r, Attempt: 2,
		Steps: []steering.Event{
			{Kind: steering.EventSent, Server: "i-1"}, {Kind: steering.EventAttemptEnded, Server: "i-1", Result: steering.Refused},
			{Kind: steering.EventSent, Server: "i-2"}, {Kind: steering.EventAttemptEnded, Server: "i-2", Result: steering.Late},
		},
	}
}

// A service fails for seconds, and a caller complains. Its request was one of a
// thousand in that second: each of the first five hundred must be found by its id,
// with the servers that it was sent to, and the others counted by reason.
func TestEachFailedRequestIsFoundInTheLog(t *testing.T) {
	const failed = 1000
	lines := journalLines(t, func(j *journal, clock *time.Time) {
		for n := range failed {
			j.event(ended(n, steering.ReasonLate))
		}
		*clock = clock.Add(leftOutEvery)
		j.event(ended(failed, steering.ReasonRefused))
	})
	last, steps, counts := make(map[string]string), 0, map[string]int{}
	for _, l := range lines {
		switch l.Message {
		case string(steering.EventFinished):
			last[l.Request] = l.Tried
		case string(steering.EventSent), string(steering.EventAttemptEnded):
			steps++
		case messageLeftOut:
			counts = l.Counts
		}
	}
	for n := range fullPerSecond + briefPerSecond {
		if got, want := last[fmt.Sprintf("r-%d", n)], "i-1 refused, i-2 late"; got != want {
			t.Fatalf("request %d: tried %q, want %q", n, got, want)
		}
	}
	if want := 4 * (fullPerSecond + 1); steps != want {
		t.Errorf("%d lines of single decisions, want %d", steps, want)
	}
	if got, want := counts[string(steering.ReasonLate)], failed-fullPerSecond-briefPerSecond; got != want {
		t.Errorf("%d requests counted as late and left out, want %d", got, want)
	}
}

// A server fails, and the route allows one attempt: the caller gets the server's
// own 500. Such requests passed for good ones and were left out with them.
func TestServersOwnFailureIsInTheLog(t *testing.T) {
	lines := journalLines(t, func(j *journal, clock *time.Time) {
		k := steering.New(steering.Config{Name: "vm-1", Observe: j.event})
		route := &routing.Route{Name: "r", Host: "h", Prefix: "/", Attempts: 1, Timeout: time.Second, Target: time.Second, Parts: []routing.WeightedService{{Service: "s", Weight: 1}}}
		k.SetTable(routing.NewTable(1, []*routing.Route{route}, nil, routing.Limits{}))
		k.SetServer(*clock, routing.Server{ID: "i-1", Service: "s", Slots: 4})
		f, _ := k.Begin(*clock, steering.Request{ID: "complaint", Host: "h", Path: "/"})
		if d := k.Ended(*clock, f, steering.Attempt{Result: steering.Failed}); !d.Answer {
			t.Errorf("the server's answer is not passed on: %+v", d)
		}
	})
	last := lines[len(lines)-1]
	if last.Request != "complaint" || last.Reason != string(steering.ReasonFailed) || last.Tried != "i-1 failed" {
		t.Errorf("last line is %+v, want the request with the reason %q", last, steering.ReasonFailed)
	}
}

// Requests that end well would drown the others; one in some is written.
func TestGoodRequestsAreSampled(t *testing.T) {
	lines := journalLines(t, func(j *journal, _ *time.Time) {
		for range 3 * sampleOneIn {
			j.event(steering.Event{Kind: steering.EventFinished, Outcome: steering.Done, Attempt: 1, Target: time.Second, Took: time.Millisecond})
		}
		j.event(steering.Event{Kind: steering.EventFinished, Request: "slow", Outcome: steering.Done, Attempt: 1, Target: time.Second, Took: 2 * time.Second})
	})
	if len(lines) != 4 || lines[3].Request != "slow" {
		t.Errorf("%d lines, want three of good requests and one of the slow one: %+v", len(lines), lines)
	}
}
