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

// TestRandomFaults lets faults of all kinds happen at any moment, together or
// twice, and asserts every promise that the checks know.
func TestRandomFaults(t *testing.T) {
	base := baseConfig(t, 0)
	rapid.Check(t, func(t *rapid.T) {
		sc := RandomScenario(base, func(label string, low, high int) int {
			return rapid.IntRange(low, high).Draw(t, label)
		})
		s, panicked := runRecoveringPanics(base, sc)
		if got := strings.Join(s.Checks().Violations(), "\n") + panicked; got != "" {
			text, _ := json.Marshal(sc)
			t.Fatalf("got violations, want none:\n%s\n%s\nwhat was done:\n%s", got, text, strings.Join(s.Checks().EventLog(), "\n"))
		}
	})
}
