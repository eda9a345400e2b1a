package warmnet

import (
	"math"
	"math/rand/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	// SlowTurns makes a share of the servers slow at any time. The servers are drawn again each
	// Interval, and all servers report their slots and their current speed.
	SlowTurns struct {
		Share    float64           `json:"share"`
		Factor   float64           `json:"times"`
		Interval operator.Duration `json:"interval"`
	}

	// slowTurnState holds the servers that are slow in the current turn.
	slowTurnState struct {
		// turn is the number of the turn, starting at 1.
		turn uint64
		slow map[*server]bool
	}
)

// slowTurnFactor returns the current factor on a server's service time because of SlowTurns.
func (w *simulation) slowTurnFactor(s *server) float64 {
	turns, state := w.scenario.SlowTurns, &w.slowTurns
	if turns == nil {
		return 1
	}
	if turn := 1 + uint64(w.Now/turns.Interval.Std()); turn != state.turn {
		// Each turn has draws of its own, so that arrivals and slow servers do not depend on what
		// the proxies decide.
		random := rand.New(rand.NewPCG(turn, uint64(len(w.servers))))
		state.turn, state.slow = turn, make(map[*server]bool)
		for _, i := range random.Perm(len(w.servers))[:int(math.Round(turns.Share*float64(len(w.servers))))] {
			state.slow[w.servers[i]] = true
		}
	}
	if state.slow[s] {
		return turns.Factor
	}
	return 1
}

// reportSpeed adds the slots and the current speed of a server to its load report.
func (w *simulation) reportSpeed(s *server, a *steering.Attempt) {
	if w.scenario.SlowTurns != nil {
		a.Slots, a.WorkPercent = w.scenario.SlotsPerServer, int(math.Round(100*w.slowTurnFactor(s)))
	}
}
