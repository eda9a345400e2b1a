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
		// registered are all registered servers, by id; servers those of them
		// that may take requests, in order, unless stale is set.
		registered map[string]*server
		eligible   []*server
		stale      bool
		// totalSlots are those of all servers.
		totalSlots  int
		retries     admission.Repeats
		concurrency concurrencyState
		// workByRoute is how long the requests of each route take, by its name.
		workByRoute map[string]*workEstimate
		placements  map[placementScope]*placing.Homes
		// warmServers are the servers that have handled each object lately.
		warmServers map[string][]*server
		// ranking keeps what dealing objects out to the servers is made from.
		ranking *placing.Ranking
		// demand is how often objects are asked for.
		demand placing.Demand
		// regionDraws are the parts of the regions in requests without objects.
		regionDraws map[placementScope]*regionDistribution
		// queuePressure is how long the queues are, by the servers' region.
		queuePressure map[string]*admission.Pressure
	}
)

// eligibleService is a service with the servers that may take its requests. They are
// listed anew when next asked for and not at each change: a proxy that starts
// hears of thousands of servers at once. Other services keep their lists and
// homes: to deal out the objects of 1,000 servers takes tens of milliseconds.
func (k *Kernel) eligibleService(name string) *service {
	svc := k.service(name)
	if svc.stale {
		svc.refreshEligible(k.evacuatedDomains)
	}
	return svc
}

func (svc *service) addServer(s *server) {
	svc.registered[s.id] = s
	svc.stale = true
}

func (svc *service) removeServer(s *server) {
	if svc.registered[s.id] != nil {
		delete(svc.registered, s.id)
		svc.stale = true
	}
}

// refreshEligible lists the servers that may take requests anew after changes.
func (svc *service) refreshEligible(evacuated map[string]bool) {
	svc.stale = false
	svc.eligible = svc.eligible[:0]
	svc.invalidatePlacements()
	for _, s := range svc.registered {
		if s.isEligible() && !evacuated[s.Domain] {
			svc.eligible = append(svc.eligible, s)
		}
	}
	slices.SortFunc(svc.eligible, func(a, b *server) int { return strings.Compare(a.id, b.id) })
	ranked := make([]placing.Server, 0, len(svc.eligible))
	svc.totalSlots = 0
	for _, s := range svc.eligible {
		svc.totalSlots += s.Slots
		ranked = append(ranked, placing.Server{ID: s.id, Class: s.class()})
	}
	svc.ranking.Update(ranked)
}

// class names the servers of a service that take the same share of its objects.
func (s *server) class() string { return s.region + "/" + strconv.Itoa(s.Slots) }

func (k *Kernel) service(name string) *service {
	s := k.services[name]
	if s == nil {
		s = &service{
			name: name, placements: make(map[placementScope]*placing.Homes), regionDraws: make(map[placementScope]*regionDistribution), registered: make(map[string]*server),
			workByRoute:   make(map[string]*workEstimate),
			ranking:       placing.NewRanking(),
			queuePressure: make(map[string]*admission.Pressure),
			retries: admission.Repeats{
				Ratio: k.config.Retry.Ratio, Slack: k.config.Retry.Slack, Window: k.config.Retry.Window,
			},
		}
		k.services[name] = s
	}
	return s
}

// invalidatePlacements has the work of the service dealt out anew when next asked for.
func (svc *service) invalidatePlacements() {
	clear(svc.placements)
	clear(svc.regionDraws)
}
