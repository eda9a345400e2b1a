package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// room is how many requests may wait at a server for the last of them to be
// answered within the route's target, if the work is warm.
func (k *Kernel) room(f *Flight, g *service, s *server) float64 {
	work := g.work.expect(true, f.Route.Target)
	if work <= 0 {
		return 0
	}
	left := f.Route.Target - s.domain.roundTrip - work
	return float64(s.Slots) * max(1, float64(left)/float64(work))
}

// feel takes in the queue that a server told of.
func (k *Kernel) feel(now time.Time, f *Flight, s *server, waiting int) {
	g := k.service(s.Service)
	p := g.pressure[s.region]
	if p == nil {
		p = &admission.Pressure{}
		g.pressure[s.region] = p
	}
	p.Heard(now, float64(waiting), k.room(f, g, s))
}

// sheds decides whether a request that has not been sent yet is refused because
// of the queues where its server is: the load is more than the servers can do,
// its answer would come late, and all those behind it later. Routes that are
// more urgent than another one of the service are spared until half of all are
// refused.
func (k *Kernel) sheds(now time.Time, f *Flight, g *service, s *server) bool {
	p := g.pressure[s.region]
	if p == nil || !k.placer.sheds {
		return false
	}
	f.pressure = p.Level(now)
	share := p.Shed(now)
	if f.Route.Priority < k.leastUrgent[g.name] {
		share = max(0, 2*share-1)
	}
	return share > 0 && k.random.Float64() < share
}

// leastUrgentOf finds the priority of the least urgent route of each service.
func leastUrgentOf(t *routing.Table) map[string]int {
	least := make(map[string]int)
	for _, r := range t.Routes {
		for _, part := range r.Parts {
			least[part.Service] = max(least[part.Service], r.Priority)
		}
	}
	return least
}
