package steering

import (
	"slices"
	"strconv"
	"strings"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

type (
	service struct {
		name string
		// members are all registered servers, by id; servers those of them
		// that may take requests, in order, unless stale is set.
		members map[string]*server
		servers []*server
		stale   bool
		// slots are those of all servers.
		slots   int
		repeats admission.RetryBudget
		holding holding
		// work is how long the requests of each route take, by its name.
		work  map[string]*workModel
		homes map[reach]*placing.Placement
		// knowers are the servers that have handled each object lately.
		knowers map[string][]*server
		// ranking keeps what dealing objects out to the servers is made from.
		ranking *placing.Ranking
		// demand is how often objects are asked for.
		demand placing.Demand
		// regions are the parts of the regions in requests without objects.
		regions map[reach]*regionShares
		// pressure is how long the queues are, by the servers' region.
		pressure map[string]*admission.QueuePressure
	}
)

// group is a service with the servers that may take its requests. They are
// listed anew when next asked for and not at each change: a proxy that starts
// hears of thousands of servers at once. Other services keep their lists and
// homes: to deal out the objects of 1,000 servers takes tens of milliseconds.
func (k *Kernel) group(name string) *service {
	g := k.service(name)
	if g.stale {
		g.list(k.evacuated)
	}
	return g
}

func (g *service) add(s *server) {
	g.members[s.id] = s
	g.stale = true
}

func (g *service) drop(s *server) {
	if g.members[s.id] != nil {
		delete(g.members, s.id)
		g.stale = true
	}
}

// list lists the servers that may take requests anew after changes.
func (g *service) list(evacuated map[string]bool) {
	g.stale = false
	g.servers = g.servers[:0]
	g.forgetHomes()
	for _, s := range g.members {
		if s.takesRequests() && !evacuated[s.Domain] {
			g.servers = append(g.servers, s)
		}
	}
	slices.SortFunc(g.servers, func(a, b *server) int { return strings.Compare(a.id, b.id) })
	ranked := make([]placing.Server, 0, len(g.servers))
	g.slots = 0
	for _, s := range g.servers {
		g.slots += s.Slots
		ranked = append(ranked, placing.Server{ID: s.id, Class: s.class()})
	}
	g.ranking.Update(ranked)
}

// class names the servers of a service that take the same share of its objects.
func (s *server) class() string { return s.region + "/" + strconv.Itoa(s.Slots) }

func (k *Kernel) service(name string) *service {
	s := k.services[name]
	if s == nil {
		s = &service{
			name: name, homes: make(map[reach]*placing.Placement), regions: make(map[reach]*regionShares), members: make(map[string]*server),
			work:     make(map[string]*workModel),
			ranking:  placing.NewRanking(),
			pressure: make(map[string]*admission.QueuePressure),
			repeats: admission.RetryBudget{
				Ratio: k.config.Retry.Ratio, Slack: k.config.Retry.Slack, Window: k.config.Retry.Window,
			},
		}
		k.services[name] = s
	}
	return s
}

// forgetHomes has the work of the service dealt out anew when next asked for.
func (g *service) forgetHomes() {
	clear(g.homes)
	clear(g.regions)
}
