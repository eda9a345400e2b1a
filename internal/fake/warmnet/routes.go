package warmnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

type (
	// Route is one of several routes that lead to the same servers. Its objects are distinct from
	// those of the other routes.
	Route struct {
		Name     string `json:"name"`
		Priority int    `json:"priority"`
		// Share is the share of the route in the requests of every region.
		Share         float64           `json:"share"`
		ServiceTime   operator.Duration `json:"work"`
		LatencyTarget operator.Duration `json:"target"`
		Timeout       operator.Duration `json:"timeout"`
	}

	// RouteStats counts the requests of a route. Seconds counts them by the second in which the
	// caller first sent them.
	RouteStats struct {
		Sent, WithinTarget int
		Seconds            []SecondStats
	}

	// SecondStats counts the requests that were first sent in one second.
	SecondStats struct {
		Sent, WithinTarget int
	}
)

// ShareWithinTarget returns the fraction of the requests sent from one second to another that were
// answered within the target.
func (s RouteStats) ShareWithinTarget(from, to int) float64 {
	sent, within := 0, 0
	for _, second := range s.Seconds[min(from, len(s.Seconds)):min(to, len(s.Seconds))] {
		sent, within = sent+second.Sent, within+second.WithinTarget
	}
	return float64(within) / float64(max(1, sent))
}

// routeList returns the routes of the scenario. The single route of scenarios without a list
// matches all paths.
func (l Scenario) routeList() []Route {
	if len(l.Routes) > 0 {
		return l.Routes
	}
	return []Route{{Name: "route", Share: 1, ServiceTime: l.ServiceTime, LatencyTarget: l.LatencyTarget, Timeout: l.Timeout}}
}

// path returns the path of the route's requests.
func (l Scenario) path(r *Route) string {
	if len(l.Routes) == 0 {
		return "/"
	}
	return "/" + r.Name + "/"
}

// routingRoutes returns the configuration of the routes.
func (l Scenario) routingRoutes() []*routing.Route {
	var list []*routing.Route
	for _, r := range l.routeList() {
		list = append(list, &routing.Route{
			Name: r.Name, Host: host, Prefix: l.path(&r), Idempotent: true, Attempts: 2, Sticky: !l.NotSticky, Priority: r.Priority,
			Timeout: r.Timeout.Std(), Target: r.LatencyTarget.Std(), Parts: []routing.WeightedService{{Service: service, Weight: 1}},
		})
	}
	return list
}

// drawRoute draws the route of a request in proportion to the shares.
func (w *simulation) drawRoute() *Route {
	if len(w.routes) == 1 {
		return &w.routes[0]
	}
	sum := 0.0
	for _, r := range w.routes {
		sum += r.Share
	}
	rest := w.random.Float64() * sum
	for i := range w.routes {
		if rest -= w.routes[i].Share; rest < 0 {
			return &w.routes[i]
		}
	}
	return &w.routes[len(w.routes)-1]
}

// routeSecond returns the counters of a request's route and of the second in which it was sent.
func (w *simulation) routeSecond(req *request) (*RouteStats, *SecondStats) {
	if w.result.Routes == nil {
		w.result.Routes = make(map[string]*RouteStats)
	}
	stats := w.result.Routes[req.route.Name]
	if stats == nil {
		stats = &RouteStats{}
		w.result.Routes[req.route.Name] = stats
	}
	second := int(req.startedAt / time.Second)
	for len(stats.Seconds) <= second {
		stats.Seconds = append(stats.Seconds, SecondStats{})
	}
	return stats, &stats.Seconds[second]
}

func (w *simulation) recordRouteSent(req *request) {
	stats, second := w.routeSecond(req)
	stats.Sent++
	second.Sent++
}

func (w *simulation) recordRouteWithinTarget(req *request) {
	stats, second := w.routeSecond(req)
	stats.WithinTarget++
	second.WithinTarget++
}
