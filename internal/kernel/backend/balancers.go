package backend

import (
	"time"
)

const (
	// SpareSlots is the name of the default balancer.
	SpareSlots = "spare-slots"
)

func init() {
	RegisterBalancer(Balancer{
		Name: SpareSlots,
		Help: "most spare slots by own requests in flight; cold servers have fewer slots",
		Pick: pickSpareSlots,
	})
	RegisterBalancer(Balancer{
		Name: "aged-load",
		Help: "lowest expected wait by own in-flight requests and load reports weighted by age",
		Pick: pickAgedLoad,
	})
	RegisterBalancer(Balancer{
		Name: "two-choices",
		Help: "the less loaded of two random servers",
		Pick: pickTwoChoices,
	})
	RegisterBalancer(Balancer{
		Name: "least-in-flight",
		Help: "fewest own requests in flight",
		Pick: pickLeastInFlight,
	})
	RegisterBalancer(Balancer{Name: "random", Help: "any server", Pick: pickRandom})
	RegisterBalancer(Balancer{Name: "round-robin", Help: "the servers in rotation", Pick: pickRoundRobin})
}

func pickRandom(p *Picker, _ time.Time, candidates []*Server) int {
	return p.random.IntN(len(candidates))
}

func pickRoundRobin(p *Picker, _ time.Time, candidates []*Server) int {
	p.nextIndex++
	return p.nextIndex % len(candidates)
}

// pickLowestScore returns the index of the lowest score. The search starts at a random index so
// that ties do not send the requests of all proxies to the first server of the list.
func pickLowestScore(p *Picker, candidates []*Server, score func(*Server) float64) int {
	offset := p.random.IntN(len(candidates))
	best := offset
	lowest := score(candidates[offset])
	for i := 1; i < len(candidates); i++ {
		index := (offset + i) % len(candidates)
		if s := score(candidates[index]); s < lowest {
			best = index
			lowest = s
		}
	}
	return best
}

func pickLeastInFlight(p *Picker, _ time.Time, candidates []*Server) int {
	return pickLowestScore(p, candidates, func(s *Server) float64 { return float64(s.inFlight) })
}

// pickSpareSlots uses only what this proxy knows for certain. Load reports would add the requests
// of other proxies, but they are several service times old and would make all proxies avoid the
// same server at once. In the benchmark, using them costs more than ignoring the other proxies
// (docs/design/balancer.md).
func pickSpareSlots(p *Picker, now time.Time, candidates []*Server) int {
	return pickLowestScore(p, candidates, func(s *Server) float64 {
		return (float64(s.inFlight) + 1) / s.effectiveSlots(now)
	})
}

func pickAgedLoad(p *Picker, now time.Time, candidates []*Server) int {
	return pickLowestScore(p, candidates, func(s *Server) float64 { return s.expectedOccupancy(now) })
}

func pickTwoChoices(p *Picker, now time.Time, candidates []*Server) int {
	a := p.random.IntN(len(candidates))
	b := p.random.IntN(len(candidates) - 1)
	if b >= a {
		b++
	}
	if candidates[b].expectedOccupancy(now) < candidates[a].expectedOccupancy(now) {
		return b
	}
	return a
}

// expectedOccupancy is the expected occupancy of the server's slots with one more request.
func (s *Server) expectedOccupancy(now time.Time) float64 {
	return (s.estimatedLoad(now, maxReportAge) + 1) / s.effectiveSlots(now)
}
