package routing

type (
	// Splitter splits the requests of a route between its services by smooth weighted round robin.
	// After as many requests as the weights sum to, each service has received exactly its weight.
	// A random choice would deviate from the weights on routes with few requests.
	Splitter struct {
		credit map[string][]int
	}
)

// NewSplitter returns a Splitter without state of any route.
func NewSplitter() *Splitter { return &Splitter{credit: make(map[string][]int)} }

// Next returns the service for the route's next request, or "" if the route has no services.
func (s *Splitter) Next(r *Route) string {
	switch len(r.Parts) {
	case 0:
		return ""
	case 1:
		return r.Parts[0].Service
	}
	credit := s.credit[r.Name]
	if len(credit) != len(r.Parts) {
		credit = make([]int, len(r.Parts))
		s.credit[r.Name] = credit
	}
	best, total := 0, 0
	for i, p := range r.Parts {
		credit[i] += p.Weight
		total += p.Weight
		if credit[i] > credit[best] {
			best = i
		}
	}
	credit[best] -= total
	return r.Parts[best].Service
}

// Prune deletes the state of routes that are not in the table.
func (s *Splitter) Prune(t *Table) {
	for name := range s.credit {
		if t.Routes[name] == nil {
			delete(s.credit, name)
		}
	}
}
