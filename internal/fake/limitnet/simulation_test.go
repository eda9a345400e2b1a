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
	// maxExcess allows for rounding: shares are whole millionths.
	maxExcess = 0.01
	// seeds is the number of seeds for each scenario.
	seeds = 2
)

type (
	// testCase is a scenario with its bounds.
	testCase struct {
		Name string `json:"name"`
		// GuardsAgainst describes the failure that the scenario guards against.
		GuardsAgainst string   `json:"guards"`
		Scenario      Scenario `json:"load"`
		// MaxRejected is the largest fraction of the conforming requests that may be finally
		// rejected. LowersLimit is set if the scenario lowers a limit, which applies only from then
		// on.
		MaxRejected float64 `json:"refused-most"`
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

// Guards against limits that are exceeded, and against rejections of accounts within their limits,
// while proxies are partitioned or killed, or get a request of an account only now and then.
func TestRateLimitsHoldWithoutStarvation(t *testing.T) {
	for _, p := range readTestCases(t) {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				got := Simulate(p.Scenario, RegionalPools, seed)
				if !p.LowersLimit && got.MaxExcess > maxExcess {
					t.Errorf("seed %d: %.2f requests beyond the enforced limit, want none", seed, got.MaxExcess)
				}
				if got.MaxViolation > 0 {
					t.Errorf("seed %d: %.2f requests beyond the allowed overage, want none", seed, got.MaxViolation)
				}
				if share := got.RejectedShare(); share > p.MaxRejected {
					t.Errorf("seed %d: %.4f of the conforming requests rejected, want at most %g", seed, share, p.MaxRejected)
				}
			}
		})
	}
}

// Pools must reject far fewer requests than equal shares, or their messages are not worth it.
func TestPoolsRejectFewerThanEqualShares(t *testing.T) {
	scenario := readTestCases(t)[0].Scenario
	if pools, equal := Simulate(scenario, RegionalPools, 1).RejectedShare(), Simulate(scenario, EqualShares, 1).RejectedShare(); pools >= equal/10 {
		t.Errorf("%.4f rejected with pools, %.4f with equal shares, want less than a tenth of that", pools, equal)
	}
}

func Example() {
	scenario := Scenario{Regions: 1, Proxies: 4, Accounts: 1, Rate: 100, Clients: 10, Headroom: 2, For: 5 * time.Second}
	o := Simulate(scenario, RegionalPools, 1)
	fmt.Println(o.Rejected, o.MaxViolation)
	// Output: 0 0
}
