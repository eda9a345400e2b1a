package limitnet

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const (
	// maxExcess covers rounding: shares are whole millionths.
	maxExcess = 0.01
	// seeds are how often each load is played.
	seeds = 2
)

type (
	// testCase is a load with what callers must get.
	testCase struct {
		Name string `json:"name"`
		// GuardsAgainst says which failure the load is there for.
		GuardsAgainst string   `json:"guards"`
		Scenario      Scenario `json:"load"`
		// MaxRefused is the largest part of the owed requests that may be refused for good;
		// a limit that is lowered binds from then on only.
		MaxRefused  float64 `json:"refused-most"`
		LowersLimit bool    `json:"lowers"`
	}
)

func readTestCases(t *testing.T) []testCase {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "loads.json"))
	if err != nil {
		t.Fatal(err)
	}
	var list []testCase
	if err := json.Unmarshal(data, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// Guards against limits that are passed, or starve accounts that keep to them, while
// proxies are cut off, killed, or see one request of an account in a while.
func TestRateLimitsHoldWithoutStarvation(t *testing.T) {
	for _, p := range readTestCases(t) {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				got := Simulate(p.Scenario, RegionalPools, seed)
				if !p.LowersLimit && got.MaxExcess > maxExcess {
					t.Errorf("seed %d: %.2f requests beyond the limit that is kept to, want none", seed, got.MaxExcess)
				}
				if got.MaxViolation > 0 {
					t.Errorf("seed %d: %.2f requests beyond what is allowed, want none", seed, got.MaxViolation)
				}
				if share := got.RefusedShare(); share > p.MaxRefused {
					t.Errorf("seed %d: %.4f of the owed requests refused, want at most %g", seed, share, p.MaxRefused)
				}
			}
		})
	}
}

// Pools must be worth their messages.
func TestPoolsRefuseFewerThanEqualShares(t *testing.T) {
	scenario := readTestCases(t)[0].Scenario
	if pools, equal := Simulate(scenario, RegionalPools, 1).RefusedShare(), Simulate(scenario, EqualShares, 1).RefusedShare(); pools >= equal/10 {
		t.Errorf("%.4f refused with pools, %.4f with even parts, want less than a tenth", pools, equal)
	}
}

func Example() {
	scenario := Scenario{Regions: 1, Proxies: 4, Accounts: 1, Rate: 100, Clients: 10, Headroom: 2, For: 5 * time.Second}
	o := Simulate(scenario, RegionalPools, 1)
	fmt.Println(o.Refused, o.MaxViolation)
	// Output: 0 0
}
