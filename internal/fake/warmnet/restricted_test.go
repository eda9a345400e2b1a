package warmnet

import (
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// Guards against a region whose servers get their share of all objects in addition to the requests
// of accounts that are restricted to it.
func TestRegionsReserveCapacityForRestrictedAccounts(t *testing.T) {
	scenario := readScenario(t, "bound")
	share, worst, _ := meanOverSeeds(scenario, steering.DefaultPlacer)
	t.Logf("%.3f of all, %.3f of the worst region", share, worst)
	unrestricted := scenario
	unrestricted.RestrictedShare = 0
	unrestrictedShare, _, _ := meanOverSeeds(unrestricted, steering.DefaultPlacer)
	if worst < 0.85*unrestrictedShare {
		t.Errorf("%.3f of the worst region are answered within the target, want at least 0.85 of the %.3f of all without restricted accounts", worst, unrestrictedShare)
	}
}
