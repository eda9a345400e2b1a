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
	// Pools is the way that is in use: shares move through the pool of each region.
	Pools Way = "pools"
	// Even leaves each proxy its own part of each limit.
	Even Way = "even"
	// Owner has each proxy ask one proxy of the fleet about each request.
	Owner Way = "owner"
)

type (
	// Way names a way to keep limits.
	Way string

	// Load is what is played.
	Load struct {
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

	// Outcome is what came of it.
	Outcome struct {
		// Asked counts requests, Owed those within their account's limit.
		Asked, Owed int
		// RefusedAtFirst counts the owed ones that were refused at first, Refused those
		// that were refused also when they came again.
		RefusedAtFirst, Refused int
		// Excess is how many requests beyond the limit that is kept to were let through, at
		// the worst moment; Broken the same beyond what is allowed.
		Excess, Broken float64
		// Reports and Asks are those of a proxy in a second.
		Reports, Asks float64
	}
)

// allowance is what operators allow beyond limits.
var allowance = ratelimit.Overage{Window: 5 * time.Second, Ratio: 0.1, Requests: 20}

// rates are what the accounts send in a second, the largest first.
func (l Load) rates() []float64 {
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
func (o Outcome) RefusedShare() float64 { return float64(o.Refused) / float64(max(1, o.Owed)) }

// RefusedAtFirstShare is the part of the owed requests that were refused at first.
func (o Outcome) RefusedAtFirstShare() float64 {
	return float64(o.RefusedAtFirst) / float64(max(1, o.Owed))
}
