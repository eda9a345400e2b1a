package forward

import (
	"bytes"
	"strings"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// Guards against hedges that operators cannot see: whether they are sent, and whether they help.
func TestHedgesAreCounted(t *testing.T) {
	m := newProxyMetrics()
	for _, outcome := range []steering.HedgeOutcome{steering.HedgeWon, steering.HedgeWon, steering.HedgeLost, steering.HedgeNone} {
		m.recordEvent(steering.Event{Kind: steering.EventRequestEnded, Service: "s", Hedge: outcome})
	}
	var text bytes.Buffer
	m.set.WritePrometheus(&text)
	for _, want := range []string{
		`gypsumquay_hedges_total{service="s",outcome="sent"} 3`, `gypsumquay_hedges_total{service="s",outcome="won"} 2`, `gypsumquay_hedges_total{service="s",outcome="lost"} 1`,
	} {
		if !strings.Contains(text.String(), want+"\n") {
			t.Errorf("metrics lack %q", want)
		}
	}
}

// Guards against requests reported as not run of which nobody can tell afterwards what proved it.
func TestNotRunIsCountedByProof(t *testing.T) {
	m := newProxyMetrics()
	for _, e := range []steering.Event{
		{Outcome: steering.OutcomeNotRun, Proof: steering.ProofRejected}, {Outcome: steering.OutcomeNotRun, Proof: steering.ProofRejected},
		{Outcome: steering.OutcomeNotRun}, {Outcome: steering.OutcomeMayHaveRun},
	} {
		e.Kind = steering.EventRequestEnded
		m.recordEvent(e)
	}
	var text bytes.Buffer
	m.set.WritePrometheus(&text)
	for _, want := range []string{`gypsumquay_not_run_total{proof="rejected"} 2`, `gypsumquay_not_run_total{proof=""} 1`} {
		if !strings.Contains(text.String(), want+"\n") {
			t.Errorf("metrics lack %q", want)
		}
	}
}
