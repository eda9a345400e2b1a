package simnet

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/gypsumquay/gypsumquay/internal/fake/seeds"
)

func TestMain(m *testing.M) {
	seeds.SetRapidDefaults("40")
	os.Exit(m.Run())
}

// TestRandomFaults injects faults of all kinds at any moment, also overlapping or repeated, and
// verifies that no guarantee is violated.
func TestRandomFaults(t *testing.T) {
	base := baseConfig(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		sc := RandomScenario(base, func(label string, low, high int) int {
			return rapid.IntRange(low, high).Draw(t, label)
		})
		s, panicked := runRecoveringPanics(base, sc)
		if got := strings.Join(s.Checks().Violations(), "\n") + panicked; got != "" {
			text, _ := json.Marshal(sc)
			t.Fatalf("got violations, want none:\n%s\n%s\nevents:\n%s", got, text, strings.Join(s.Checks().EventLog(), "\n"))
		}
	})
}
