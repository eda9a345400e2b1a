package backend

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// maxReportAge is the age at which a load report says nothing any more.
	maxReportAge = 300 * time.Millisecond
)

var (
	balancers = map[string]Balancer{}
)

type (
	// Balancer chooses among servers that may all take the request.
	// Candidates are never empty; Pick returns an index into them.
	Balancer struct {
		Name string
		Help string
		Pick func(p *Picker, now time.Time, candidates []*Server) int
	}

	// Picker is one proxy's own state of choosing.
	Picker struct {
		balancer  Balancer
		random    *rand.Rand
		nextIndex int
		usable    []*Server
	}
)

// RegisterBalancer adds a balancer to the registry. It is called from init
// functions only, so the registry is constant once main runs.
func RegisterBalancer(b Balancer) {
	if _, taken := balancers[b.Name]; taken {
		panic(fmt.Sprintf("backend: balancer %q registered twice", b.Name))
	}
	balancers[b.Name] = b
}

// Balancers lists the registered names in order.
func Balancers() []string {
	names := make([]string, 0, len(balancers))
	for name := range balancers {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// NewPicker makes a picker with a registered balancer.
func NewPicker(name string, random *rand.Rand) (*Picker, bool) {
	b, ok := balancers[name]
	return &Picker{balancer: b, random: random}, ok
}

// Pick chooses a server that is usable, is not in avoid and has a connection
// to spare under limit, or returns nil. It allocates nothing once warm.
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
