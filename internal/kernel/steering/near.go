package steering

import (
	"slices"
	"time"
)

// chooseNear picks among the servers that know the request's object, and reports whether
// no other can be better: each of the hundreds of others would run it cold, and is charged
// for that.
func (k *Kernel) chooseNear(now time.Time, f *ActiveRequest, g *service, homes []string) (pick, bool) {
	if len(homes) == 0 || !k.placer.keepsHomes || k.weighed != nil {
		return pick{}, false
	}
	near := make([]*server, 0, len(homes)+len(g.knowers[f.Object]))
	for _, id := range homes {
		if s := g.members[id]; s != nil {
			near = append(near, s)
		}
	}
	for _, s := range g.knowers[f.Object] {
		if g.members[s.id] == s && !k.evacuated[s.Domain] && !slices.Contains(near, s) {
			near = append(near, s)
		}
	}
	best := k.chooseAmong(now, f, g, homes, near)
	if best.server == nil {
		return best, false
	}
	work := f.work.expect(false, f.Route.Target)
	elsewhere := work + time.Duration(spillCost*float64(len(homes))*float64(work))
	return best, best.cost < elsewhere
}

// knows notes that a server has handled an object.
func (g *service) knows(now time.Time, s *server, object string) {
	if object == "" {
		return
	}
	if g.knowers == nil {
		g.knowers = make(map[string][]*server)
	}
	known := slices.DeleteFunc(g.knowers[object], func(other *server) bool { return other == s || !other.knows(object, now) })
	g.knowers[object] = append(known, s)
	if len(g.knowers) > knownObjectsMost {
		for other, list := range g.knowers {
			if list = slices.DeleteFunc(list, func(s *server) bool { return !s.knows(other, now) }); len(list) == 0 {
				delete(g.knowers, other)
			}
		}
	}
}
