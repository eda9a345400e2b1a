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
		// registered are all registered servers, by ID. eligible are those that may take requests,
		// sorted by ID; the list is out of date while stale is set.
		registered map[string]*server
		eligible   []*server
		stale      bool
		// totalSlots is the number of slots of all eligible servers.
		totalSlots  int
		retries     admission.RetryBudget
		concurrency concurrencyState
		// workByRoute estimates how long the requests of each route take, by route name.
		workByRoute map[string]*workEstimate
		placements  map[placementScope]*placing.Placement
		// warmServers are the servers that have recently handled each object.
		warmServers map[string][]*server
		// ranking holds the server rankings from which objects are assigned to servers.
		ranking *placing.Ranking
		// demand measures how often objects are requested.
		demand placing.Demand
		// regionDraws are the shares of the regions in requests without an object.
		regionDraws map[placementScope]*regionDistribution
		// queuePressure is the pressure of the server queues, by region of the servers.
		queuePressure map[string]*admission.QueuePressure
	}
)

// eligibleService returns a service with an up-to-date list of eligible servers. The list is
// rebuilt on demand and not at each change, because a proxy that starts learns of thousands of
// servers at once. Other services keep their lists and placements, since assigning the objects of
// 1,000 servers takes tens of milliseconds.
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

// refreshEligible rebuilds the list of eligible servers.
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

// class groups the servers of a service that get the same share of its objects.
func (s *server) class() string { return s.region + "/" + strconv.Itoa(s.Slots) }

func (k *Kernel) service(name string) *service {
	s := k.services[name]
	if s == nil {
		s = &service{
			name: name, placements: make(map[placementScope]*placing.Placement), regionDraws: make(map[placementScope]*regionDistribution), registered: make(map[string]*server),
			workByRoute:   make(map[string]*workEstimate),
			ranking:       placing.NewRanking(),
			queuePressure: make(map[string]*admission.QueuePressure),
			retries: admission.RetryBudget{
				Ratio: k.config.Retry.Ratio, Slack: k.config.Retry.Slack, Window: k.config.Retry.Window,
			},
		}
		k.services[name] = s
	}
	return s
}

// invalidatePlacements discards the assignment of requests to servers. It is computed again on
// demand.
func (svc *service) invalidatePlacements() {
	clear(svc.placements)
	clear(svc.regionDraws)
}
