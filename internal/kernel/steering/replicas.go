package steering

import (
	"slices"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

// withReplica names the servers for an object that is asked for more often than its home
// can answer: one of its replicas first, drawn for each request, then its homes. The
// replicas stand in the home's region, so that the regions keep their parts of the
// requests. Proxies may differ in how many there are: the first ones are the same for
// all.
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
	// The nearest of the home's class are the same at all proxies; the home itself is
	// mostly one of them.
	nearest := slices.DeleteFunc(svc.ranking.Nearest(home.class(), req.Object), func(id string) bool { return id == home.id })
	if i > len(nearest) {
		return homes
	}
	chosen := nearest[i-1]
	if svc.registered[chosen].ejections > 0 {
		// Its home is sound: the request must not be taken for one whose home is lost.
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

// replicasNeeded is how many servers the object of a request needs, its home
// included. This proxy takes the others of its region to see as much as it does.
func (k *Kernel) replicasNeeded(req *ActiveRequest, svc *service, slots int) int {
	rate := svc.demand.Least(req.startedAt, req.Object) * float64(max(1, k.sharersInRegion))
	return placing.Replicas(rate, svc.workOf(req.Route).typical(req.Route), slots)
}
