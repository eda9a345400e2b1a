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
