package kv

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	// rolloutScenario is one roll-out against a platform that misbehaves, from a
	// data file.
	rolloutScenario struct {
		Name  string   `json:"name"`
		Story []string `json:"story"`
		// Stored is the version in force before, under operation "earlier".
		Stored uint64 `json:"stored"`
		// Version and Operation are what is rolled out.
		Version   uint64 `json:"version"`
		Operation string `json:"operation"`
		// Swaps says what each write does: ok, lost (takes effect, no answer),
		// down, or rival (another operator's bundle gets in first).
		Swaps []string `json:"swaps"`
		// DownReads is how many reads fail after the first write.
		DownReads int           `json:"down-reads"`
		Want      RolloutResult `json:"want"`
		// WantOperation is what is in force in the end.
		WantOperation string `json:"want-operation"`
	}

	memoryStore struct {
		value   Value
		swaps   []string
		written bool
		down    int
		rival   []byte
	}
)

func envelope(version uint64, operation string) (*operator.Bundle, *operator.Envelope) {
	b := &operator.Bundle{Version: version, Comment: operation}
	return b, &operator.Envelope{Bundle: b.Encode(), Digest: b.Digest(), OperationID: operation}
}

func (m *memoryStore) store() Store {
	return Store{Get: m.get, CompareAndSwap: m.swap, Sleep: func(context.Context, time.Duration) {}}
}

func (m *memoryStore) get(context.Context, Key) (Value, error) {
	if m.written && m.down > 0 {
		m.down--
		return Value{}, ErrUnavailable
	}
	if m.value.Revision == 0 {
		return Value{}, ErrNotFound
	}
	return m.value, nil
}

func (m *memoryStore) swap(_ context.Context, _ Key, expect Revision, data []byte) (Revision, error) {
	m.written = true
	what := "ok"
	if len(m.swaps) > 0 {
		what, m.swaps = m.swaps[0], m.swaps[1:]
	}
	switch what {
	case "down":
		return 0, ErrUnavailable
	case "rival":
		m.value = Value{Revision: m.value.Revision + 1, Data: m.rival}
	}
	if m.value.Revision != expect {
		return 0, ErrConflict
	}
	m.value = Value{Revision: m.value.Revision + 1, Data: data}
	if what == "lost" {
		return 0, ErrUnavailable
	}
	return m.value.Revision, nil
}

// TestRolloutScenarios plays testdata/rollouts.json: two operators race, answers
// are lost after the write took effect, the platform goes away. The verdict is
// true in each, and a repeat is harmless.
func TestRolloutScenarios(t *testing.T) {
	data, err := os.ReadFile("testdata/rollouts.json")
	if err != nil {
		t.Fatal(err)
	}
	var stories []rolloutScenario
	if err := json.Unmarshal(data, &stories); err != nil {
		t.Fatal(err)
	}
	for _, s := range stories {
		t.Run(s.Name, func(t *testing.T) { runRolloutScenario(t, s) })
	}
}

func runRolloutScenario(t *testing.T, s rolloutScenario) {
	t.Helper()
	m := &memoryStore{swaps: s.Swaps, down: s.DownReads}
	if s.Stored > 0 {
		_, e := envelope(s.Stored, "earlier")
		m.value = Value{Revision: 1, Data: e.Encode()}
	}
	_, rival := envelope(s.Version, "rival")
	m.rival = rival.Encode()
	b, e := envelope(s.Version, s.Operation)
	got, _ := Rollout(context.Background(), m.store(), b, e)
	if got != s.Want {
		t.Errorf("got verdict %q, want %q", got, s.Want)
	}
	stored, err := operator.ParseEnvelope(m.value.Data)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := stored.OperationID, s.WantOperation; got != want {
		t.Errorf("got operation %q in force, want %q", got, want)
	}
}
