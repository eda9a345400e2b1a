package steering

import (
	"slices"
	"time"
)

// chooseWarm picks among the servers that know the request's object, and reports whether
// no other can be better: each of the hundreds of others would run it cold, and is charged
// for that.
func (k *Kernel) chooseWarm(now time.Time, f *ActiveRequest, g *service, homes []string) (choice, bool) {
	if len(homes) == 0 || !k.placer.chargesColdRuns || k.observeCandidate != nil {
		return choice{}, false
	}
	near := make([]*server, 0, len(homes)+len(g.warmServers[f.Object]))
	for _, id := range homes {
		if s := g.registered[id]; s != nil {
			near = append(near, s)
		}
	}
	for _, s := range g.warmServers[f.Object] {
		if g.registered[s.id] == s && !k.evacuatedDomains[s.Domain] && !slices.Contains(near, s) {
			near = append(near, s)
		}
	}
	best := k.chooseAmong(now, f, g, homes, near)
	if best.server == nil {
		return best, false
	}
	work := f.workEstimate.expected(false, f.Route.Target)
	elsewhere := work + time.Duration(coldRunPenalty*float64(len(homes))*float64(work))
	return best, best.cost < elsewhere
}

// markWarm notes that a server has handled an object.
func (g *service) markWarm(now time.Time, s *server, object string) {
	if object == "" {
		return
	}
	if g.warmServers == nil {
		g.warmServers = make(map[string][]*server)
	}
	known := slices.DeleteFunc(g.warmServers[object], func(other *server) bool { return other == s || !other.isWarm(object, now) })
	g.warmServers[object] = append(known, s)
	if len(g.warmServers) > warmServersSweepSize {
		for other, list := range g.warmServers {
			if list = slices.DeleteFunc(list, func(s *server) bool { return !s.isWarm(other, now) }); len(list) == 0 {
				delete(g.warmServers, other)
			}
		}
	}
}
