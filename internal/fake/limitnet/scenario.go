// Package limitnet plays callers of client accounts against the limits that many proxies
// keep together, in virtual time: what is refused within a limit, what is let through
// beyond it, and what the proxies tell each other for it.
package limitnet

import (
	"math"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
)

const (
	// RegionalPools is the way that is in use: shares move through the pool of each region.
	RegionalPools Strategy = "pools"
	// EqualShares leaves each proxy its own part of each limit.
	EqualShares Strategy = "even"
	// CentralPool has each proxy ask one proxy of the fleet about each request.
	CentralPool Strategy = "owner"
)

type (
	// Strategy names a way to keep limits.
	Strategy string

	// Scenario is what is played.
	Scenario struct {
		Regions int
		// Proxies are all proxies, evenly in the regions, two failure domains each.
		Proxies  int
		Accounts int
		// Rate is how many requests a second all accounts send together.
		Rate float64
		// Skew is how unlike the accounts are: the n-th sends in proportion to n to its
		// negative power.
		Skew float64
		// Clients send from a few connections each, kept from request to request.
		Clients int
		// Headroom is the limit of an account over what it sends.
		Headroom float64
		For      time.Duration
		// Hot is how many times its usual the largest account sends in the second half.
		Hot float64
		// Cut is the part of the proxies that can reach no other from a quarter of the
		// time to the half, Killed the part that is killed at half of it and is back after
		// Down.
		Cut    float64
		Killed float64
		Down   time.Duration
		// Lowered divides the limit of the largest account at a third of the time.
		Lowered float64
	}

	// Result is what came of it.
	Result struct {
		// Sent counts requests, Owed those within their account's limit.
		Sent, Conforming int
		// InitiallyRefused counts the owed ones that were refused at first, Refused those
		// that were refused also when they came again.
		InitiallyRefused, Refused int
		// MaxExcess is how many requests beyond the limit that is kept to were let through, at
		// the worst moment; Broken the same beyond what is allowed.
		MaxExcess, MaxViolation float64
		// ReportRate and Asks are those of a proxy in a second.
		ReportRate, TokenRequestRate float64
	}
)

// overage is what operators allow beyond limits.
var overage = ratelimit.Overage{Window: 5 * time.Second, Ratio: 0.1, Requests: 20}

// rates are what the accounts send in a second, the largest first.
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

// RefusedShare is the part of the owed requests that were refused for good.
func (o Result) RefusedShare() float64 { return float64(o.Refused) / float64(max(1, o.Conforming)) }

// InitiallyRefusedShare is the part of the owed requests that were refused at first.
func (o Result) InitiallyRefusedShare() float64 {
	return float64(o.InitiallyRefused) / float64(max(1, o.Conforming))
}
