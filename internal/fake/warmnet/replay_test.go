package warmnet

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// recorded simulates a scenario and returns the recording of one proxy's kernel and the calls in
// it.
func recorded(t *testing.T, name string) (*bytes.Buffer, []steering.Call) {
	t.Helper()
	var recording bytes.Buffer
	var calls []steering.Call
	encoder := json.NewEncoder(&recording)
	simulate(readScenario(t, name), steering.DefaultPlacer, 1, func(c steering.Call) {
		calls = append(calls, c)
		if err := encoder.Encode(c); err != nil {
			t.Fatal(err)
		}
	})
	return &recording, calls
}

// Operators replay the recording of a proxy to find out why it placed requests badly. Guards
// against a replay that decides any request differently from the recorded kernel.
func TestReplayRepeatsAllDecisions(t *testing.T) {
	for _, name := range []string{"refusals", "leave", "overload", "limited", "slow-turns", "priorities"} {
		recording, _ := recorded(t, name)
		got, err := steering.ReplayCalls(recording, "")
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got.DifferenceCount > 0 || got.Decisions < 200 {
			t.Errorf("%s: %d of %d decisions differ, want none of at least 200: %+v", name, got.DifferenceCount, got.Decisions, got.Differences)
		}
	}
}

// Guards against a replay that does not show how the servers were rated for a request and which one
// was chosen.
func TestReplayExplainsServerChoice(t *testing.T) {
	recording, calls := recorded(t, "heavy")
	var requestID, server string
	for _, c := range calls {
		if c.Request != nil && c.Decision.Server != "" {
			requestID, server = c.Request.ID, c.Decision.Server
		}
	}
	got, err := steering.ReplayCalls(recording, requestID)
	if err != nil {
		t.Fatal(err)
	}
	chosen := ""
	for _, w := range got.Candidates {
		if w.Chosen {
			chosen += w.Server
		}
	}
	if len(got.Candidates) != 12 || chosen != server {
		t.Errorf("request %s: %d candidates, chosen %q; want 12 and %q", requestID, len(got.Candidates), chosen, server)
	}
}

// A changed version of the code decides one request differently. The replay must report this
// request and still compare the calls recorded after it.
func TestReplayReportsDifferingDecision(t *testing.T) {
	_, calls := recorded(t, "heavy")
	index := -1
	for i, c := range calls {
		if c.Request != nil && c.Decision.Server != "" && i > len(calls)/2 {
			index = i
			break
		}
	}
	changed := *calls[index].Decision
	changed.Server = "many-5"
	if changed == *calls[index].Decision {
		changed.Server = "many-4"
	}
	calls[index].Decision = &changed
	var recording bytes.Buffer
	for _, c := range calls {
		if err := json.NewEncoder(&recording).Encode(c); err != nil {
			t.Fatal(err)
		}
	}
	got, err := steering.ReplayCalls(&recording, "")
	if err != nil {
		t.Fatal(err)
	}
	if len(got.Differences) == 0 || got.Differences[0].Request != calls[index].Request.ID || got.Calls != len(calls) {
		t.Errorf("got %d differences over %d calls, want request %s first over %d", got.DifferenceCount, got.Calls, calls[index].Request.ID, len(calls))
	}
}

// A VM loses power while a call is being written. The calls before it must replay.
func TestTruncatedRecordingReplays(t *testing.T) {
	recording, calls := recorded(t, "refusals")
	recording.Truncate(recording.Len() - 5)
	got, err := steering.ReplayCalls(recording, "")
	if err != nil || !got.Truncated || got.Calls != len(calls)-1 || got.DifferenceCount > 0 {
		t.Errorf("got %d calls, truncated %t, %d differences, error %v; want %d, true, none, none", got.Calls, got.Truncated, got.DifferenceCount, err, len(calls)-1)
	}
}

func TestReplayReportsInvalidRecordings(t *testing.T) {
	for text, want := range map[string]string{
		`{"do":"tick"}`: "call 1, tick: recording does not begin with the start of a proxy",
		`{"do":"start","config":{}}{"do":"dance"}`:             `call 2, dance: do: unknown call "dance"`,
		`{"do":"start","config":{}}{"do":"ended","flight":3}`:  "call 2, ended: recording continues a request that it does not begin",
		`{"do":"start","config":{}}{"do":"begin","at":"noon"}`: "call 2: ",
	} {
		_, err := steering.ReplayCalls(bytes.NewBufferString(text), "")
		if err == nil || len(err.Error()) < len(want) || err.Error()[:len(want)] != want {
			t.Errorf("%s: got error %v, want %q", text, err, want)
		}
	}
}

// Guards against decisions that depend on the iteration order of a map: simulations of the same seed
// differ then, and comparisons with a mechanism switched off are left to luck.
func TestEqualArgumentsGiveEqualResults(t *testing.T) {
	scenario := readScenario(t, "slow-runs-and-servers")
	for i := range scenario.Regions {
		scenario.Regions[i].PerSecond *= 1.7
	}
	want := Simulate(scenario, steering.DefaultPlacer, 1)
	for range 5 {
		if got := Simulate(scenario, steering.DefaultPlacer, 1); !reflect.DeepEqual(got, want) {
			t.Errorf("got %d late and %d within the target, want %d and %d as in the first simulation", got.Late, got.WithinTarget, want.Late, want.WithinTarget)
		}
	}
}
