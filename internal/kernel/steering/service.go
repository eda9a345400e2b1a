package steering

import (
	"slices"
	"strconv"
	"strings"
	"unique"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

type (
	service struct {
		name string
		// registered are all registered servers, by ID, and sorted lists them by ID. eligible are
		// those of them that may take requests; the list is out of date while stale is set.
		registered map[string]*server
		sorted     []*server
		eligible   []*server
		stale      bool
		// ranked is a buffer for the servers that are passed to ranking.
		ranked []placing.Server
		// totalSlots is the number of slots of all eligible servers.
		totalSlots  int
		retries     admission.RetryBudget
		concurrency concurrencyState
		// workByRoute estimates how long the requests of each route take, by route name.
		workByRoute map[string]*workEstimate
		placements  map[placementScope]*placing.Placement
		// warmServers are the servers that have recently handled each object.
		warmServers map[placing.Object][]*server
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
	if i, known := svc.indexOf(s.id); known {
		svc.sorted[i] = s
	} else {
		svc.sorted = slices.Insert(svc.sorted, i, s)
	}
}

func (svc *service) removeServer(s *server) {
	if svc.registered[s.id] == nil {
		return
	}
	delete(svc.registered, s.id)
	svc.stale = true
	if i, known := svc.indexOf(s.id); known {
		svc.sorted = slices.Delete(svc.sorted, i, i+1)
	}
}

// indexOf returns the index of a server in the sorted list, or where it would be inserted.
func (svc *service) indexOf(id string) (int, bool) {
	return slices.BinarySearchFunc(svc.sorted, id, func(s *server, id string) int { return strings.Compare(s.id, id) })
}

// refreshEligible rebuilds the list of eligible servers.
func (svc *service) refreshEligible(evacuated map[string]bool) {
	svc.stale = false
	svc.invalidatePlacements()
	svc.eligible, svc.ranked, svc.totalSlots = svc.eligible[:0], svc.ranked[:0], 0
	for _, s := range svc.sorted {
		if s.isEligible() && !evacuated[s.Domain] {
			svc.eligible = append(svc.eligible, s)
			svc.ranked = append(svc.ranked, placing.Server{ID: s.id, Class: s.class})
			svc.totalSlots += s.Slots
		}
	}
	svc.ranking.Update(svc.ranked)
}

// classOf names the servers of a service that get the same share of its objects.
func classOf(region string, slots int) string {
	return unique.Make(region + "/" + strconv.Itoa(slots)).Value()
}

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
