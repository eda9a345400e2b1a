package steering

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// objectKey returns the object of a request. Its name is empty if the request has none.
func (req *ActiveRequest) objectKey() placing.Object {
	return placing.Object{Route: req.Route.Name, Name: req.Object}
}

// setRouteGroups divides the sticky routes of each service by priority, and assigns the objects of
// the services anew whose division changed.
func (k *Kernel) setRouteGroups(t *routing.Table) {
	priorities := make(map[string]map[string]int)
	for name, r := range t.Routes {
		for _, part := range r.Parts {
			if priorities[part.Service] == nil {
				priorities[part.Service] = make(map[string]int)
			}
			if r.Sticky {
				priorities[part.Service][name] = r.Priority
			}
		}
	}
	previous := k.routeGroups
	k.routeGroups = make(map[string]*placing.RouteGroups, len(priorities))
	for service, list := range priorities {
		k.routeGroups[service] = placing.NewRouteGroups(list)
	}
	for name, svc := range k.services {
		if !k.routeGroups[name].Equal(previous[name]) {
			svc.invalidatePlacements()
		}
	}
}
