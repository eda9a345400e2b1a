package backend

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// maxReportAge is the age at which a load report is no longer used.
	maxReportAge = 300 * time.Millisecond
)

var (
	balancers = map[string]Balancer{}
)

type (
	// Balancer is a load balancing algorithm, which chooses among servers that can all take the
	// request. The candidates are never empty; Pick returns an index into them.
	Balancer struct {
		Name string
		Help string
		Pick func(p *Picker, now time.Time, candidates []*Server) int
	}

	// Picker is the balancing state of one proxy.
	Picker struct {
		balancer  Balancer
		random    *rand.Rand
		nextIndex int
		usable    []*Server
	}
)

// RegisterBalancer adds a balancer to the registry. It is called from init functions only, so that
// the registry is constant once main runs.
func RegisterBalancer(b Balancer) {
	if _, registered := balancers[b.Name]; registered {
		panic(fmt.Sprintf("backend: balancer %q registered twice", b.Name))
	}
	balancers[b.Name] = b
}

// Balancers returns the sorted names of the registered balancers.
func Balancers() []string {
	names := make([]string, 0, len(balancers))
	for name := range balancers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// NewPicker creates a picker with a registered balancer. It returns false if the name is unknown.
func NewPicker(name string, random *rand.Rand) (*Picker, bool) {
	b, ok := balancers[name]
	return &Picker{balancer: b, random: random}, ok
}

// Pick chooses a usable server other than avoid that has fewer requests in flight than limit
// allows, or returns nil. It does not allocate once its buffer has grown.
func (p *Picker) Pick(now time.Time, servers []*Server, avoid *Server, limit func(*Server) int) *Server {
	p.usable = p.usable[:0]
	for _, s := range servers {
		if s == avoid || !s.Usable(now) || s.inFlight >= limit(s) {
			continue
		}
		p.usable = append(p.usable, s)
	}
	switch len(p.usable) {
	case 0:
		return nil
	case 1:
		return p.usable[0]
	}
	return p.usable[p.balancer.Pick(p, now, p.usable)]
}
