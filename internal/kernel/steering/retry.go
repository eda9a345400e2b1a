package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

type (
	// RetryBudgetState describes the retry budget of a service at this proxy when a retry was wanted.
	// The zero value means that none was.
	RetryBudgetState struct {
		// Retries counts the retries of the last window, Allowed is how many the budget allows in it.
		Retries int
		Allowed float64
		// Proxies is the number of proxies among which the slack is divided.
		Proxies int
	}

	// retryCharges records what a request has used of the retry budget of its service.
	retryCharges struct {
		// budget is the state of the budget when a retry was last wanted.
		budget RetryBudgetState
		// count is the number of retries that were charged. denied is set if the budget did not
		// allow another one.
		count  int
		denied bool
	}
)

// mayRetry reports whether a request that reached a server may be sent to another one.
func (k *Kernel) mayRetry(now time.Time, req *ActiveRequest) bool {
	if req.mayHaveRun && !req.Route.Idempotent {
		return false
	}
	if !k.isEnabled(MechanismRetries) || req.reachedServers >= req.Route.Attempts || req.sendAttempts >= maxSends || req.connectionsLost >= quarantine.MaxConnectionLosses || req.ExpiresAt.Sub(now) < minAttemptTime {
		return false
	}
	svc := k.service(req.Service)
	granted := svc.retries.TrySpend(now, len(k.limitSharers))
	req.recordCharge(k.retryBudgetState(now, svc), granted)
	if !granted {
		return false
	}
	if req.mayHaveRun && req.Account != nil {
		k.quotas.limiter.Charge(req.Account.Name)
	}
	return true
}

func (k *Kernel) retryBudgetState(now time.Time, svc *service) RetryBudgetState {
	retries, allowed := svc.retries.Usage(now, len(k.limitSharers))
	return RetryBudgetState{Retries: retries, Allowed: allowed, Proxies: len(k.limitSharers)}
}

// recordCharge records whether the budget granted a retry.
func (req *ActiveRequest) recordCharge(budget RetryBudgetState, granted bool) {
	req.retries.budget, req.retries.denied = budget, !granted
	if granted {
		req.retries.count++
	}
}
