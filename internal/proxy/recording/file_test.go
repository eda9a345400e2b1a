package recording

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/client/command"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// writeRecording records a kernel that dispatches two requests, of which the second finds no
// server, and returns the path of the recording.
func writeRecording(t *testing.T) string {
	t.Helper()
	directory, now := t.TempDir(), time.Unix(1_000_000, 0)
	file, err := Create(directory, "vm-1", now)
	if err != nil {
		t.Fatal(err)
	}
	k := steering.New(steering.Config{Name: "vm-1", Domain: "north-a", Region: "north", RegionOf: map[string]string{"north-a": "north"}, Record: file.Write})
	route := &routing.Route{Name: "route", Host: "host", Prefix: "/", Attempts: 1, Timeout: time.Second, Target: time.Second, Parts: []routing.WeightedService{{Service: "service", Weight: 1}}}
	k.SetTable(routing.NewTable(1, []*routing.Route{route}, nil, routing.Limits{}))
	k.RegisterServer(now, routing.Server{ID: "server-1", Service: "service", Domain: "north-a", Slots: 4})
	request, _ := k.BeginRequest(now, steering.Request{ID: "first", Host: "host", Path: "/"})
	k.EndAttempt(now.Add(time.Millisecond), request, steering.Attempt{Result: steering.ResultResponded})
	k.RemoveServer(now, "server-1")
	k.BeginRequest(now, steering.Request{ID: "second", Host: "host", Path: "/"})
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	return filepath.Join(directory, "vm-1-19700112T134640.000.json")
}

func runReplay(path, request string) (code int, out, errOut string) {
	var stdout, stderr strings.Builder
	code = command.Run(context.Background(), command.Arguments{
		Steering: &command.SteeringArguments{Replay: &command.SteeringReplayArguments{File: path, Request: request}},
	}, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// An operator wants to know why a request was sent to its server. The command replays the recording
// and prints the candidate servers of the decision.
func TestCommandReplaysRecording(t *testing.T) {
	code, out, errOut := runReplay(writeRecording(t), "first")
	if code != command.ExitOK {
		t.Fatalf("exit code %d: %s", code, errOut)
	}
	for _, want := range []string{"7 calls, 3 decisions, 0 differ", "server-1", "chosen"} {
		if !strings.Contains(out, want) {
			t.Errorf("got %q, want %q in it", out, want)
		}
	}
}

// The recording was made by a different version of the code, which rejected the first request.
func TestCommandReportsDifferingDecisions(t *testing.T) {
	path := writeRecording(t)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(data), `"decision":{"server":"server-1"}`, `"decision":{"reason":"no-server"}`, 1)
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, out, _ := runReplay(path, ""); !strings.Contains(out, "request first: recorded no-server, now to server-1") {
		t.Errorf("got %q, want the first request with both decisions", out)
	}
}

func TestErrorNamesInvalidRecording(t *testing.T) {
	path := filepath.Join(t.TempDir(), "wrong.json")
	if err := os.WriteFile(path, []byte(`{"do":"tick"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, p := range []string{path, path + "-missing"} {
		if code, _, errOut := runReplay(p, ""); code != command.ExitUsage || !strings.Contains(errOut, p) {
			t.Errorf("exit code %d, %q; want %d and the file's name", code, errOut, command.ExitUsage)
		}
	}
}
