package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/capacity"
)

// observeArrival counts an arriving request in the demand of its service.
func (k *Kernel) observeArrival(now time.Time, req *ActiveRequest) {
	svc := k.service(req.Service)
	work := svc.workOf(req.Route).typical(req.Route)
	svc.capacity.ObserveRequest(now, capacity.Request{Route: req.Route.Name, Priority: req.priority(), Work: work, Slack: req.Route.Target - work})
}

// queuedWork returns how long the requests in the queues of a service take in the mean, whatever
// their route: a short request waits for the long ones ahead of it.
func (svc *service) queuedWork(req *ActiveRequest) time.Duration {
	if work := svc.capacity.MeanWork(); work > 0 {
		return work
	}
	return svc.workOf(req.Route).typical(req.Route)
}
