package warmnet

import (
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// Guards against a region whose servers are given their part of all objects on top of
// requests of accounts that are bound to it.
func TestRegionsLeaveRoomForBoundAccounts(t *testing.T) {
	l := load(t, "bound")
	share, worst, _ := mean(l, steering.DefaultPlacer)
	t.Logf("%.3f of all, %.3f of the worst region", share, worst)
	free := l
	free.RestrictedShare = 0
	open, _, _ := mean(free, steering.DefaultPlacer)
	if worst < 0.85*open {
		t.Errorf("%.3f of the worst region are answered within the target, want 0.85 at least of the %.3f of all without bound accounts", worst, open)
	}
}
