package simnet

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	randomDuration = 15 * time.Second
	randomWarmUp   = 12 * time.Second
)

type (
	// DrawInt picks an integer from low to high, inclusive. The randomised tests draw from their
	// library, the soak run from its seed.
	DrawInt func(label string, low, high int) int
)

// SeededDraw returns a DrawInt that draws from a generator with the given seed.
func SeededDraw(seed uint64) DrawInt {
	r := rand.New(rand.NewPCG(seed, 2))
	return func(_ string, low, high int) int { return low + r.IntN(high-low+1) }
}

// RandomScenario draws a run with one to eight faults, which may come at any moment, overlap and
// repeat.
func RandomScenario(c Config, draw DrawInt) *Scenario {
	s := &Scenario{
		Seed:            uint64(draw("seed", 1, 1<<30)),
		LoadPercent:     draw("load", 20, 130),
		BookingPermille: draw("book", 50, 500),
		WarmUp:          operator.Duration(randomWarmUp),
		Duration:        operator.Duration(randomDuration),
	}
	kinds := FaultKinds()
	for range draw("faults", 1, 8) {
		s.Faults = append(s.Faults, randomFault(c, draw, kinds[draw("kind", 0, len(kinds)-1)]))
	}
	return s
}

// randomFault draws the time, duration, target and amount of a fault of the given kind.
func randomFault(c Config, draw DrawInt, kind string) Fault {
	f := Fault{
		Kind:     kind,
		At:       operator.Duration(time.Duration(draw("at", 0, 10000)) * time.Millisecond),
		Duration: operator.Duration(time.Duration(draw("for", 100, 8000)) * time.Millisecond),
	}
	region := func() string { return c.Bundle.Regions[draw("region", 0, len(c.Bundle.Regions)-1)].Name }
	switch kind {
	case "cut-regions", "steer":
		f.Target, f.SecondTarget, f.Amount = region(), region(), draw("amount", 0, 1000)
		if f.Target == f.SecondTarget {
			f.Kind, f.Target, f.SecondTarget = "resets", "", ""
			f.Amount = draw("amount", 0, 100)
		}
	case "lose-region", "drain-region", "capacity":
		f.Target = region()
		f.Amount = draw("amount", 200, 460)
	case "deadly-request":
		f.Target, f.Amount = c.Bundle.Services[draw("service", 0, len(c.Bundle.Services)-1)].Name, draw("amount", 5, 50)
	case "kill-server", "shed-server", "drain-server", "leave-server", "limit-server", "pause-server":
		s := c.Bundle.Services[draw("service", 0, len(c.Bundle.Services)-1)]
		f.Target = s.Servers[draw("server", 0, len(s.Servers)-1)].Name
		if kind == "limit-server" || kind == "pause-server" {
			f.Amount = draw("amount", 0, 100)
		}
	case "drain-proxy":
		f.Target = "proxy-" + strconv.Itoa(draw("proxy", 1, c.Proxies))
	case "resets":
		f.Amount = draw("amount", 0, 100)
	case "lose-answers":
		f.Amount = draw("amount", 1, 5)
	case "load":
		f.Amount = draw("amount", 10, 160)
	default:
		f.Target = strconv.Itoa(draw("proxy", 0, c.Proxies-1))
	}
	return f
}
