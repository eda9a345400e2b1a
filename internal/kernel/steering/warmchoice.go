package steering

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/serverload"
)

// chooseWarm chooses among the servers that are warm for the request's object, and reports whether
// no other server can have a lower cost. Hundreds of other servers need not be considered then:
// each would run the request cold and is charged for that.
func (k *Kernel) chooseWarm(now time.Time, req *ActiveRequest, svc *service, homes []string) (choice, bool) {
	if len(homes) == 0 || !k.placer.chargesColdRuns || k.observeCandidate != nil {
		return choice{}, false
	}
	candidates := make([]*server, 0, len(homes)+len(svc.warmServers[req.objectKey()]))
	for _, id := range homes {
		if s := svc.registered[id]; s != nil {
			candidates = append(candidates, s)
		}
	}
	for _, s := range svc.warmServers[req.objectKey()] {
		if svc.registered[s.id] == s && !k.evacuatedDomains[s.Domain] && !slices.Contains(candidates, s) {
			candidates = append(candidates, s)
		}
	}
	best := k.chooseAmong(now, req, svc, homes, candidates)
	if best.server == nil {
		return best, false
	}
	coldWork := req.workEstimate.expected(false, req.Route.Target)
	minColdCost := coldWork + time.Duration(coldRunPenalty*float64(len(homes))*float64(coldWork))
	if best.warm {
		return best, best.cost < minColdCost
	}
	// Other servers that are not warm either may report that they are faster than usual.
	minSpeedCost := time.Duration((serverload.MinFactor - 1) * float64(coldWork))
	return best, best.cost+best.speedCost < minColdCost+minSpeedCost
}

// markWarm records that a server has handled an object.
func (svc *service) markWarm(now time.Time, s *server, object placing.Object) {
	if object.Name == "" {
		return
	}
	if svc.warmServers == nil {
		svc.warmServers = make(map[placing.Object][]*server)
	}
	warm := slices.DeleteFunc(svc.warmServers[object], func(other *server) bool { return other == s || !other.isWarm(object, now) })
	svc.warmServers[object] = append(warm, s)
	if len(svc.warmServers) > warmServersSweepSize {
		for other, list := range svc.warmServers {
			if list = slices.DeleteFunc(list, func(s *server) bool { return !s.isWarm(other, now) }); len(list) == 0 {
				delete(svc.warmServers, other)
			}
		}
	}
}
