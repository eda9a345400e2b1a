package warmnet

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

// All proxies restart several times while servers reject most requests. Guards against retries that
// exceed the budget of the fleet because a new process does not know of those sent before.
func TestRetryBudgetHoldsWhileProxiesRestart(t *testing.T) {
	scenario := readScenario(t, "refusals")
	scenario.RejectTo = operator.Duration(28 * time.Second)
	for _, gap := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
		scenario.ProxyRestarts = nil
		for at := 9 * time.Second; at < 24*time.Second; at += gap {
			scenario.ProxyRestarts = append(scenario.ProxyRestarts, operator.Duration(at))
		}
		for seed := range uint64(3) {
			got := Simulate(scenario, "homes", seed)
			t.Logf("restarts every %s, seed %d: %d retries, %d denied, at most %.2f of those allowed; %d of %d requests in time", gap, seed, got.Retries.Sent, got.Retries.Denied, got.Retries.MaxUtilization, got.WithinTarget, got.Sent)
			if got.Retries.MaxUtilization > 1 {
				t.Errorf("restarts every %s, seed %d: %.2f of the allowed retries in a window, want at most 1", gap, seed, got.Retries.MaxUtilization)
			}
			if got.Retries.Sent == 0 || got.Retries.Denied == 0 {
				t.Errorf("restarts every %s, seed %d: %d retries were sent and %d denied, want some of both: the load does not reach the budget", gap, seed, got.Retries.Sent, got.Retries.Denied)
			}
		}
	}
}
