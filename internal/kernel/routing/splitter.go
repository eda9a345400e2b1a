package routing

type (
	// Splitter shares the requests of split routes by weight, exactly and
	// smoothly: after every sum-of-weights requests each part has had its
	// share to the request. Drawing at random would stray from the weights on
	// routes with few requests.
	Splitter struct {
		credit map[string][]int
	}
)

// NewSplitter starts with no route seen.
func NewSplitter() *Splitter { return &Splitter{credit: make(map[string][]int)} }

// Next picks the service for the route's next request, "" if it has none.
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

// Prune drops what is kept of routes that a table no longer holds.
func (s *Splitter) Prune(t *Table) {
	for name := range s.credit {
		if t.Routes[name] == nil {
			delete(s.credit, name)
		}
	}
}
