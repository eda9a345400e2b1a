package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// maxSlackListAge is how old this proxy's list of proxies may be while it earns its share of the
	// slack of retry budgets. It exceeds most outages of the store. A proxy that starts waits as long.
	maxSlackListAge = 10 * time.Second
)

type (
	// RetryBudgetState describes the retry budget of a service at this proxy when a retry was wanted.
	// The zero value means that none was.
	RetryBudgetState struct {
		admission.RetryUsage
		// SlackShare is the share of the budget's slack that this proxy earns.
		SlackShare float64
	}

	// retryCharges records what a request has used of the retry budget of its service.
	retryCharges struct {
		// budget is the state of the budget when a retry was last wanted.
		budget RetryBudgetState
		// isRequestCounted is set once the budget of some proxy counts the request.
		isRequestCounted bool
		// count is the number of retries that were charged. denied is set if the budget did not
		// allow another one.
		count  int
		denied bool
		// chargedAt is when the last retry was charged.
		chargedAt time.Time
	}
)

// countRequest earns credit for the first attempt of a request.
func (k *Kernel) countRequest(now time.Time, req *ActiveRequest, svc *service) {
	if !req.retries.isRequestCounted {
		svc.retries.RecordRequest(now)
	}
	req.retries.isRequestCounted = true
}

// mayRetry reports whether a request that reached a server may be sent to another one.
func (k *Kernel) mayRetry(now time.Time, req *ActiveRequest) bool {
	if req.mayHaveRun() && !req.Route.Idempotent {
		return false
	}
	if !k.isEnabled(MechanismRetries) || req.reachedServers >= req.Route.Attempts || req.sendAttempts >= maxSends || req.connectionsLost >= quarantine.MaxConnectionLosses || req.ExpiresAt.Sub(now) < minAttemptTime {
		return false
	}
	if !k.chargeRetry(now, req) {
		return false
	}
	if req.mayHaveRun() && req.Account != nil {
		k.quotas.limiter.Charge(req.Account.Name)
	}
	return true
}

// retryServices returns the services at which a retry of a request may arrive: the one that this proxy
// has chosen, or all of the route that get requests if it handed the request over before.
func (k *Kernel) retryServices(req *ActiveRequest) []*service {
	if req.Service != "" {
		return []*service{k.service(req.Service)}
	}
	services := make([]*service, 0, len(req.Route.Parts))
	for _, part := range req.Route.Parts {
		if part.Weight > 0 {
			services = append(services, k.service(part.Service))
		}
	}
	return services
}

// chargeRetry takes a retry of a request from the budget, or returns false if the budget is exhausted.
func (k *Kernel) chargeRetry(now time.Time, req *ActiveRequest) bool {
	services := k.retryServices(req)
	if len(services) == 0 {
		return false
	}
	for _, svc := range services {
		if state := k.retryBudgetState(now, svc); !state.HasRoom() {
			req.recordCharge(now, state, false)
			return false
		}
	}
	for _, svc := range services {
		svc.retries.TrySpend(now)
	}
	req.recordCharge(now, k.retryBudgetState(now, services[0]), true)
	return true
}

// refundRetry gives back the last retry of a request, if any was charged, because it was not sent.
func (k *Kernel) refundRetry(now time.Time, req *ActiveRequest) {
	if req.retries.count == 0 {
		return
	}
	for _, svc := range k.retryServices(req) {
		svc.retries.Refund(now, req.retries.chargedAt)
	}
	req.retries.count--
}

// rechargeLateRetry charges a retry that has waited for a slot for now instead of for the time when it
// was decided, if it would arrive later than the budget assumes. It returns false if the budget is
// exhausted.
func (k *Kernel) rechargeLateRetry(now time.Time, req *ActiveRequest) bool {
	maxWait := k.service(req.Service).retries.ArrivalDelay() / 2
	if req.retries.count == 0 || now.Sub(req.retries.chargedAt) <= maxWait {
		return true
	}
	k.refundRetry(now, req)
	return k.chargeRetry(now, req)
}

func (k *Kernel) retryBudgetState(now time.Time, svc *service) RetryBudgetState {
	return RetryBudgetState{RetryUsage: svc.retries.Usage(now), SlackShare: k.retrySlackShare(now)}
}

// retrySlackShare returns this proxy's share of the slack of retry budgets: an equal one while all
// proxies that have a share count this proxy.
func (k *Kernel) retrySlackShare(now time.Time) float64 {
	if !k.listing.countedByAll(now, maxSlackListAge) {
		return 0
	}
	return 1 / float64(len(k.limitSharers))
}

// earnRetrySlack adds what this proxy has earned of the slack of all retry budgets since the last call.
func (k *Kernel) earnRetrySlack(now time.Time) {
	share := k.retrySlackShare(now)
	for _, svc := range k.services {
		svc.retries.AddSlack(now, share)
	}
}

// recordCharge records whether the budget granted a retry.
func (req *ActiveRequest) recordCharge(now time.Time, budget RetryBudgetState, granted bool) {
	req.retries.budget, req.retries.denied = budget, !granted
	if granted {
		req.retries.count++
		req.retries.chargedAt = now
	}
}
