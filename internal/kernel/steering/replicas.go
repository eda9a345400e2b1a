package steering

import (
	"slices"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

// withReplica returns the servers for an object that is requested more often than its home can
// serve: a random one of its replicas first, drawn for each request, followed by its homes. The
// replicas are in the region of the home, so that the regions keep their shares of the requests.
// Proxies may disagree on the number of replicas, but the first ones are the same for all.
func (k *Kernel) withReplica(req *ActiveRequest, svc *service, homes []string) []string {
	if len(homes) == 0 || !k.isEnabled(MechanismReplicas) {
		return homes
	}
	home := svc.registered[homes[0]]
	if home == nil {
		return homes
	}
	n := k.replicasNeeded(req, svc, home.Slots)
	if n < 2 {
		return homes
	}
	i := k.random.IntN(n)
	if i == 0 {
		return homes
	}
	// The nearest servers of the home's class are the same at all proxies. They usually include the
	// home itself.
	nearest := slices.DeleteFunc(svc.ranking.Nearest(home.class, k.routeGroups[svc.name], req.objectKey()), func(id string) bool { return id == home.id })
	if i > len(nearest) {
		return homes
	}
	chosen := nearest[i-1]
	if svc.registered[chosen].ejections > 0 {
		// The home is healthy, so the request must not be treated as one whose home is lost.
		return homes
	}
	list := append(make([]string, 0, len(homes)+1), chosen)
	for _, id := range homes {
		if id != chosen {
			list = append(list, id)
		}
	}
	return list
}

// replicasNeeded returns how many servers the object of a request needs, including its home. The
// other proxies of the region are assumed to have the same request rate as this one.
func (k *Kernel) replicasNeeded(req *ActiveRequest, svc *service, slots int) int {
	rate := svc.demand.LowerBound(req.startedAt, req.objectKey()) * float64(max(1, k.proxiesOfRegion()))
	return placing.ReplicaCount(rate, svc.workOf(req.Route).typical(req.Route), slots)
}
