// Package limitnet simulates the rate limits of client accounts that many proxies enforce together,
// in virtual time. It measures the requests rejected within a limit, the requests admitted beyond
// it and the messages between the proxies.
package limitnet

import (
	"math"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
)

const (
	// RegionalPools is the strategy in use: shares move between proxies through a pool in each
	// region.
	RegionalPools Strategy = "pools"
	// EqualShares gives each proxy a fixed, equal share of each limit.
	EqualShares Strategy = "even"
	// CentralPool has each proxy ask a single proxy of the fleet about each request.
	CentralPool Strategy = "owner"
)

type (
	// Strategy is a method of enforcing rate limits across proxies.
	Strategy string

	// Scenario describes the fleet, the load and the faults of a simulation.
	Scenario struct {
		Regions int
		// Proxies is the total number of proxies, spread evenly over the regions with two failure
		// domains each.
		Proxies  int
		Accounts int
		// Rate is the number of requests per second of all accounts together.
		Rate float64
		// Skew is the exponent of the Zipf distribution of the accounts' rates: the n-th sends in
		// proportion to n to the power of -Skew.
		Skew float64
		// Clients is the approximate number of clients of all accounts. A client reuses its
		// connection to a proxy for most requests.
		Clients int
		// Headroom is the ratio of an account's limit to its request rate.
		Headroom float64
		For      time.Duration
		// Hot multiplies the rate of the largest account in the second half.
		Hot float64
		// Cut is the fraction of the proxies that are partitioned from all others from a quarter to
		// half of the time. Killed is the fraction that is killed at half of the time and restarts
		// after Down.
		Cut    float64
		Killed float64
		Down   time.Duration
		// Lowered divides the limit of the largest account after a third of the time.
		Lowered float64
	}

	// Result is the outcome of a simulation.
	Result struct {
		// Sent counts all requests, Conforming those within the limit of their account.
		Sent, Conforming int
		// InitiallyRejected counts the conforming requests whose first attempt was rejected,
		// Rejected those that were finally rejected.
		InitiallyRejected, Rejected int
		// MaxExcess is the largest number of requests that were admitted beyond the limit that
		// proxies enforce. MaxViolation is the same beyond the limit plus the overage allowed by
		// the operators.
		MaxExcess, MaxViolation float64
		// ReportRate and TokenRequestRate are messages per second and proxy.
		ReportRate, TokenRequestRate float64
	}
)

// overage is the excess over limits that operators allow.
var overage = ratelimit.Overage{Window: 5 * time.Second, Ratio: 0.1, Requests: 20}

// rates returns the requests per second of the accounts, in descending order.
func (l Scenario) rates() []float64 {
	rates, sum := make([]float64, l.Accounts), 0.0
	for i := range rates {
		rates[i] = math.Pow(float64(i+1), -l.Skew)
		sum += rates[i]
	}
	for i := range rates {
		rates[i] *= l.Rate / sum
	}
	return rates
}

// RejectedShare returns the fraction of the conforming requests that were finally rejected.
func (o Result) RejectedShare() float64 { return float64(o.Rejected) / float64(max(1, o.Conforming)) }

// InitiallyRejectedShare returns the fraction of the conforming requests whose first attempt was
// rejected.
func (o Result) InitiallyRejectedShare() float64 {
	return float64(o.InitiallyRejected) / float64(max(1, o.Conforming))
}
