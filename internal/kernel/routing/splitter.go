package routing

import (
	"math/rand/v2"
	"slices"
)

// maxInitialSteps bounds the steps in which a new split is brought to a random position of its cycle.
const maxInitialSteps = 4096

type (
	// Splitter splits the requests of a route between its services by smooth weighted round robin.
	// After as many requests as the weights sum to, each service has received exactly its weight.
	// A random choice would deviate from the weights on routes with few requests.
	Splitter struct {
		// splits are the current splits by route.
		splits map[string]*split
		random *rand.Rand
	}

	// split is the state of a route's split. Credits are in units of the weights, so they are worth
	// nothing once a weight or service changes.
	split struct {
		parts  []WeightedService
		credit []int
	}
)

// NewSplitter returns a Splitter without state of any route.
func NewSplitter(random *rand.Rand) *Splitter {
	return &Splitter{splits: make(map[string]*split), random: random}
}

// Next returns the service for the route's next request, or "" if the route has no services.
func (s *Splitter) Next(r *Route) string {
	switch len(r.Parts) {
	case 0:
		return ""
	case 1:
		return r.Parts[0].Service
	}
	current := s.splits[r.Name]
	if current == nil || !slices.Equal(current.parts, r.Parts) {
		current = s.newSplit(r.Parts)
		s.splits[r.Name] = current
	}
	return current.next()
}

// newSplit returns a split at a random position of its cycle. If all proxies began at the same position, those of a
// large fleet would send their first requests after a change to the same service.
func (s *Splitter) newSplit(parts []WeightedService) *split {
	created := &split{parts: slices.Clone(parts), credit: make([]int, len(parts))}
	total := 0
	for _, p := range parts {
		total += p.Weight
	}
	for range s.random.IntN(min(max(1, total), maxInitialSteps)) {
		created.next()
	}
	return created
}

// next returns the service for the next request.
func (s *split) next() string {
	best, total := 0, 0
	for i, p := range s.parts {
		s.credit[i] += p.Weight
		total += p.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return s.parts[best].Service
}

// Prune deletes the state of routes that are not in the table.
func (s *Splitter) Prune(t *Table) {
	for name := range s.splits {
		if t.Routes[name] == nil {
			delete(s.splits, name)
		}
	}
}
