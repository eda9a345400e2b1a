package warmnet

import "testing"

// Servers reject a part of the requests with free slots and send some responses again, late. Guards
// against requests that are reported as not run although they run: the duplicate of a rejection is taken
// for the response to the second send.
func TestDuplicateRejectionsAreNotTakenForOthers(t *testing.T) {
	scenario := readScenario(t, "refusals")
	scenario.RejectRatio, scenario.DuplicateRatio = 0.25, 0.5
	for seed := range uint64(4) {
		got := Simulate(scenario, "homes", seed)
		t.Logf("seed %d: %d duplicates, %d mistaken, %d of %d requests in time", seed, got.Duplicates.Sent, got.Duplicates.Mistaken, got.WithinTarget, got.Sent)
		if got.Duplicates.Sent == 0 {
			t.Errorf("seed %d: got no duplicates, want some", seed)
		}
		if got.Duplicates.Mistaken > 0 || got.Duplicates.RanAfterRejection > 0 {
			t.Errorf("seed %d: %d duplicates were mistaken and %d requests ran that were reported as not run, want none", seed, got.Duplicates.Mistaken, got.Duplicates.RanAfterRejection)
		}
	}
}
