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
	// excessMost covers rounding: shares are whole millionths.
	excessMost = 0.01
	// seeds are how often each load is played.
	seeds = 2
)

type (
	// played is a load with what callers must get.
	played struct {
		Name string `json:"name"`
		// Guards says which failure the load is there for.
		Guards string   `json:"guards"`
		Load   Scenario `json:"load"`
		// RefusedMost is the largest part of the owed requests that may be refused for good;
		// a limit that is lowered binds from then on only.
		RefusedMost float64 `json:"refused-most"`
		Lowers      bool    `json:"lowers"`
	}
)

func loads(t *testing.T) []played {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "loads.json"))
	if err != nil {
		t.Fatal(err)
	}
	var list []played
	if err := json.Unmarshal(data, &list); err != nil {
		t.Fatal(err)
	}
	return list
}

// Guards against limits that are passed, or starve accounts that keep to them, while
// proxies are cut off, killed, or see one request of an account in a while.
func TestLimitsHoldAndDoNotStarve(t *testing.T) {
	for _, p := range loads(t) {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				got := Simulate(p.Load, RegionalPools, seed)
				if !p.Lowers && got.MaxExcess > excessMost {
					t.Errorf("seed %d: %.2f requests beyond the limit that is kept to, want none", seed, got.MaxExcess)
				}
				if got.MaxViolation > 0 {
					t.Errorf("seed %d: %.2f requests beyond what is allowed, want none", seed, got.MaxViolation)
				}
				if share := got.RefusedShare(); share > p.RefusedMost {
					t.Errorf("seed %d: %.4f of the owed requests refused, want at most %g", seed, share, p.RefusedMost)
				}
			}
		})
	}
}

// Pools must be worth their messages.
func TestPoolsRefuseFewerThanEvenParts(t *testing.T) {
	l := loads(t)[0].Load
	if pools, even := Simulate(l, RegionalPools, 1).RefusedShare(), Simulate(l, EqualShares, 1).RefusedShare(); pools >= even/10 {
		t.Errorf("%.4f refused with pools, %.4f with even parts, want less than a tenth", pools, even)
	}
}

func Example() {
	l := Scenario{Regions: 1, Proxies: 4, Accounts: 1, Rate: 100, Clients: 10, Headroom: 2, For: 5 * time.Second}
	o := Simulate(l, RegionalPools, 1)
	fmt.Println(o.Refused, o.MaxViolation)
	// Output: 0 0
}
