package forward

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/logs"
)

type (
	// logRecord is a line that the decision log wrote about a request.
	logRecord struct {
		Message string         `json:"msg"`
		Request string         `json:"request"`
		Reason  string         `json:"reason"`
		Tried   string         `json:"tried"`
		Counts  map[string]int `json:"counts"`
	}

	// capturedLog receives the log of all tests. The logger is global to the process: replacing it
	// in a test would race with goroutines of earlier tests that are still ending. They may also
	// write while a test reads its own lines.
	capturedLog struct {
		mu     sync.Mutex
		buffer *bytes.Buffer
	}
)

var (
	processLog capturedLog
)

// TestMain sets the logger up before any goroutine uses it.
func TestMain(m *testing.M) {
	logs.Setup(&processLog, 0)
	os.Exit(m.Run())
}

// Write implements io.Writer.
func (l *capturedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buffer == nil {
		return os.Stderr.Write(p)
	}
	return l.buffer.Write(p)
}

// capture starts or stops capturing, and returns what was captured so far.
func (l *capturedLog) capture(on bool) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	captured := l.buffer
	l.buffer = nil
	if on {
		l.buffer = &bytes.Buffer{}
	}
	if captured == nil {
		return nil
	}
	return captured.Bytes()
}

// loggedRequests feeds events to a decision log and returns the lines that it wrote about requests.
func loggedRequests(t *testing.T, feed func(j *decisionLog, clock *time.Time)) []logRecord {
	t.Helper()
	return loggedLines(t, feed, string(steering.EventRequestEnded), string(steering.EventRequestSent), string(steering.EventAttemptEnded), omittedMessage)
}

// loggedLines feeds events to a decision log and returns the lines that it wrote with the given
// messages.
func loggedLines(t *testing.T, feed func(j *decisionLog, clock *time.Time), messages ...string) []logRecord {
	t.Helper()
	processLog.capture(true)
	clock := time.Unix(1_000_000, 0)
	feed(newDecisionLog("vm-1", func() time.Time { return clock }, newProxyMetrics()), &clock)
	var list []logRecord
	for decoder := json.NewDecoder(bytes.NewReader(processLog.capture(false))); decoder.More(); {
		var l logRecord
		if err := decoder.Decode(&l); err != nil {
			t.Fatal(err)
		}
		if slices.Contains(messages, l.Message) {
			list = append(list, l)
		}
	}
	return list
}

func failedRequest(n int, r steering.Reason) steering.Event {
	return steering.Event{
		Kind: steering.EventRequestEnded, Request: fmt.Sprintf("r-%d", n), Outcome: steering.OutcomeMayHaveRun, Reason: r, Attempt: 2,
		Steps: []steering.Event{
			{Kind: steering.EventRequestSent, Server: "i-1"}, {Kind: steering.EventAttemptEnded, Server: "i-1", Result: steering.ResultRejected},
			{Kind: steering.EventRequestSent, Server: "i-2"}, {Kind: steering.EventAttemptEnded, Server: "i-2", Result: steering.ResultTimeout},
		},
	}
}

// A service fails for seconds, and one request of a thousand in a second must be explained. The
// first five hundred must be logged with their ids and attempted servers, and the others counted by
// reason.
func TestFailedRequestsAreLogged(t *testing.T) {
	const failed = 1000
	lines := loggedRequests(t, func(j *decisionLog, clock *time.Time) {
		for n := range failed {
			j.handleEvent(failedRequest(n, steering.ReasonTimeout))
		}
		*clock = clock.Add(omittedInterval)
		j.handleEvent(failedRequest(failed, steering.ReasonRejected))
	})
	summaries, attemptLines, counts := make(map[string]string), 0, map[string]int{}
	for _, l := range lines {
		switch l.Message {
		case string(steering.EventRequestEnded):
			summaries[l.Request] = l.Tried
		case string(steering.EventRequestSent), string(steering.EventAttemptEnded):
			attemptLines++
		case omittedMessage:
			counts = l.Counts
		}
	}
	for n := range maxDetailedPerSecond + maxSummariesPerSecond {
		if got, want := summaries[fmt.Sprintf("r-%d", n)], "i-1 refused, i-2 late"; got != want {
			t.Fatalf("request %d: attempted servers %q, want %q", n, got, want)
		}
	}
	if want := 4 * (maxDetailedPerSecond + 1); attemptLines != want {
		t.Errorf("%d lines of attempts, want %d", attemptLines, want)
	}
	if got, want := counts[string(steering.ReasonTimeout)], failed-maxDetailedPerSecond-maxSummariesPerSecond; got != want {
		t.Errorf("%d late requests counted as omitted, want %d", got, want)
	}
}

// Guards against failed requests whose cause can't be told because more failed in their second than are
// logged.
func TestCauseOfEachFailedRequestIsKept(t *testing.T) {
	const failed = 1000
	loggedRequests(t, func(j *decisionLog, clock *time.Time) {
		for n := range failed {
			j.handleEvent(failedRequest(n, steering.ReasonTimeout))
		}
		for n := range failed {
			list := j.events(fmt.Sprintf("r-%d", n))
			if len(list) == 0 || list[len(list)-1].Reason != string(steering.ReasonTimeout) || !list[len(list)-1].At.Equal(*clock) {
				t.Fatalf("request %d: got events %+v, want the last to have the reason %q", n, list, steering.ReasonTimeout)
			}
		}
	})
}

// A server fails, and the route allows one attempt: the caller gets the server's own 500. Such
// requests used to count as successful and were sampled out.
func TestServerFailureIsLogged(t *testing.T) {
	lines := loggedRequests(t, func(j *decisionLog, clock *time.Time) {
		k := steering.New(steering.Config{Name: "vm-1", Observe: j.handleEvent})
		route := &routing.Route{Name: "r", Host: "h", Prefix: "/", Attempts: 1, Timeout: time.Second, Target: time.Second, Parts: []routing.WeightedService{{Service: "s", Weight: 1}}}
		k.SetTable(routing.NewTable(1, []*routing.Route{route}, nil, routing.Limits{}))
		k.RegisterServer(*clock, routing.Server{ID: "i-1", Service: "s", Slots: 4})
		f, _ := k.BeginRequest(*clock, steering.Request{ID: "failed-request", Host: "h", Path: "/"})
		if d := k.EndAttempt(*clock, f, steering.Attempt{Result: steering.ResultServerError}); !d.ReturnResponse {
			t.Errorf("the server's response is not returned to the caller: %+v", d)
		}
	})
	last := lines[len(lines)-1]
	if last.Request != "failed-request" || last.Reason != string(steering.ReasonServerError) || last.Tried != "i-1 failed" {
		t.Errorf("last line is %+v, want the request with the reason %q", last, steering.ReasonServerError)
	}
}

// Successful requests are sampled, so that they don't crowd out the others; slow ones are logged.
func TestSuccessfulRequestsAreSampled(t *testing.T) {
	lines := loggedRequests(t, func(j *decisionLog, _ *time.Time) {
		for range 3 * sampleEveryNth {
			j.handleEvent(steering.Event{Kind: steering.EventRequestEnded, Outcome: steering.OutcomeDone, Attempt: 1, Target: time.Second, Duration: time.Millisecond})
		}
		j.handleEvent(steering.Event{Kind: steering.EventRequestEnded, Request: "slow", Outcome: steering.OutcomeDone, Attempt: 1, Target: time.Second, Duration: 2 * time.Second})
	})
	if len(lines) != 4 || lines[3].Request != "slow" {
		t.Errorf("%d lines, want three of successful requests and one of the slow one: %+v", len(lines), lines)
	}
}

// Guards against a proxy that starts in a large fleet and logs the registration of each of ten
// thousand servers at once.
func TestRegistrationsOfWholeFleetAreNotLoggedOneByOne(t *testing.T) {
	const servers = 10_000
	lines := loggedLines(t, func(j *decisionLog, clock *time.Time) {
		for n := range servers {
			j.handleEvent(steering.Event{Kind: steering.EventServerChanged, Server: fmt.Sprintf("i-%d", n)})
		}
		*clock = clock.Add(omittedInterval)
		j.handleEvent(steering.Event{Kind: steering.EventServerGone, Server: "i-0"})
	}, string(steering.EventServerChanged), string(steering.EventServerGone), omittedChangesMessage)
	if got, want := len(lines), maxChangesPerSecond+2; got != want {
		t.Fatalf("%d lines, want %d: the first changes, the number of the others, and a later change", got, want)
	}
	if got, want := lines[maxChangesPerSecond].Counts[string(steering.EventServerChanged)], servers-maxChangesPerSecond; got != want {
		t.Errorf("%d changes counted, want %d", got, want)
	}
	if got := lines[maxChangesPerSecond+1].Message; got != string(steering.EventServerGone) {
		t.Errorf("the last line is %q, want the later change", got)
	}
}
