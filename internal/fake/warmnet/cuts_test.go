package warmnet

import (
	"fmt"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// minCutOffRatio is the operators' bound on the served share at proxies that are cut off,
	// relative to that at the others.
	minCutOffRatio = 2.0 / 3
)

func simulateWithout(scenario Scenario, seed uint64, off steering.Mechanism) Result {
	scenario.MechanismsOff = []steering.Mechanism{off}
	return Simulate(scenario, "homes", seed)
}

// Callers that keep using proxies without connections to servers must be served through the other
// proxies, however many are cut off, without harm to the callers of those.
func TestCallersOfCutOffProxiesAreServed(t *testing.T) {
	scenario, err := ReadScenario("testdata/cut-off.json")
	if err != nil {
		t.Fatal(err)
	}
	calm := scenario
	calm.ProxyCuts = nil
	for _, proxies := range []int{1, 2, 5, 6} {
		t.Run(fmt.Sprintf("%d of 6", proxies), func(t *testing.T) {
			cut := scenario
			cut.ProxyCuts = []ProxyCut{scenario.ProxyCuts[0]}
			cut.ProxyCuts[0].Proxies = proxies
			for seed := range uint64(3) {
				got, undisturbed := Simulate(cut, "homes", seed), Simulate(calm, "homes", seed)
				t.Logf("seed %d: served %d of %d at proxies that are cut off, %d of %d at the others; in time %.3f, without a cut %.3f",
					seed, got.Cuts.CutOff.Served, got.Cuts.CutOff.Sent, got.Cuts.Others.Served, got.Cuts.Others.Sent, got.ShareWithinTarget(), undisturbed.ShareWithinTarget())
				if alone := simulateWithout(cut, seed, steering.MechanismHandover); alone.Cuts.CutOff.Served > 0 {
					t.Errorf("seed %d: served %d without handovers, want 0: the cut has no effect", seed, alone.Cuts.CutOff.Served)
				}
				if got.Cuts.CutOff.Sent < 50 {
					t.Fatalf("got %d requests at proxies that are cut off, want at least 50", got.Cuts.CutOff.Sent)
				}
				if got.Cuts.CutOff.Share() < minCutOffRatio*got.Cuts.Others.Share() {
					t.Errorf("seed %d: served %.3f at proxies that are cut off, want two thirds of %.3f", seed, got.Cuts.CutOff.Share(), got.Cuts.Others.Share())
				}
			}
		})
	}
}
