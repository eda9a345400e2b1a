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
	// rolloutScenario is a rollout against a faulty platform, read from testdata/rollouts.json.
	rolloutScenario struct {
		Name        string   `json:"name"`
		Description []string `json:"story"`
		// StoredVersion is the current version before the rollout, stored by operation "earlier".
		StoredVersion uint64 `json:"stored"`
		// Version and Operation identify the bundle that is rolled out.
		Version   uint64 `json:"version"`
		Operation string `json:"operation"`
		// Writes holds the outcome of each write: ok, lost (takes effect without a response), down,
		// or rival (another operator's bundle is written first).
		Writes []string `json:"swaps"`
		// FailedReads is the number of reads that fail after the first write.
		FailedReads int           `json:"down-reads"`
		Want        RolloutResult `json:"want"`
		// WantOperation is the operation whose bundle is current at the end.
		WantOperation string `json:"want-operation"`
	}

	memoryStore struct {
		value       Value
		writes      []string
		written     bool
		failedReads int
		rivalData   []byte
	}
)

func newEnvelope(version uint64, operation string) (*operator.Bundle, *operator.Envelope) {
	b := &operator.Bundle{Version: version, Comment: operation}
	return b, &operator.Envelope{Bundle: b.Encode(), Digest: b.Digest(), OperationID: operation}
}

func (m *memoryStore) store() Store {
	return Store{Get: m.get, CompareAndSwap: m.compareAndSwap, Sleep: func(context.Context, time.Duration) {}}
}

func (m *memoryStore) get(context.Context, Key) (Value, error) {
	if m.written && m.failedReads > 0 {
		m.failedReads--
		return Value{}, ErrUnavailable
	}
	if m.value.Revision == 0 {
		return Value{}, ErrNotFound
	}
	return m.value, nil
}

func (m *memoryStore) compareAndSwap(_ context.Context, _ Key, expect Revision, data []byte) (Revision, error) {
	m.written = true
	outcome := "ok"
	if len(m.writes) > 0 {
		outcome, m.writes = m.writes[0], m.writes[1:]
	}
	switch outcome {
	case "down":
		return 0, ErrUnavailable
	case "rival":
		m.value = Value{Revision: m.value.Revision + 1, Data: m.rivalData}
	}
	if m.value.Revision != expect {
		return 0, ErrConflict
	}
	m.value = Value{Revision: m.value.Revision + 1, Data: data}
	if outcome == "lost" {
		return 0, ErrUnavailable
	}
	return m.value.Revision, nil
}

// TestRolloutScenarios checks that the reported outcome is correct and that a retry is safe when
// two operators race, responses are lost after the write took effect, or the platform is
// unavailable.
func TestRolloutScenarios(t *testing.T) {
	data, err := os.ReadFile("testdata/rollouts.json")
	if err != nil {
		t.Fatal(err)
	}
	var scenarios []rolloutScenario
	if err := json.Unmarshal(data, &scenarios); err != nil {
		t.Fatal(err)
	}
	for _, s := range scenarios {
		t.Run(s.Name, func(t *testing.T) { runRolloutScenario(t, s) })
	}
}

func runRolloutScenario(t *testing.T, s rolloutScenario) {
	t.Helper()
	m := &memoryStore{writes: s.Writes, failedReads: s.FailedReads}
	if s.StoredVersion > 0 {
		_, e := newEnvelope(s.StoredVersion, "earlier")
		m.value = Value{Revision: 1, Data: e.Encode()}
	}
	_, rival := newEnvelope(s.Version, "rival")
	m.rivalData = rival.Encode()
	b, e := newEnvelope(s.Version, s.Operation)
	got, _ := Rollout(context.Background(), m.store(), b, e)
	if got != s.Want {
		t.Errorf("got result %q, want %q", got, s.Want)
	}
	stored, err := operator.ParseEnvelope(m.value.Data)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := stored.OperationID, s.WantOperation; got != want {
		t.Errorf("got current operation %q, want %q", got, want)
	}
}
