package simnet

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	syntheticCapacity = 100_000
	domainsPerRegion  = 2
)

// SyntheticBundle returns a bundle for a fleet of any size: proxies spread evenly over regions of
// two failure domains each, and one service with one backend server per region.
func SyntheticBundle(proxies, regions int) *operator.Bundle {
	b := &operator.Bundle{
		Version:  1,
		Balancer: "spare-slots",
		Shift: operator.ShiftConfig{
			Planner: "headroom", CapPermille: 100, Interval: operator.Duration(10 * time.Second),
			FailoverCapPermille: 250, FailoverInterval: operator.Duration(time.Second),
		},
		Lookup: operator.LookupConfig{TTL: operator.Duration(3 * time.Second), MaxProxies: 3},
		Retry:  operator.RetryConfig{BudgetPermille: 100, MaxAttempts: 3},
		Token:  operator.TokenConfig{TTL: operator.Duration(time.Minute), Retention: operator.Duration(time.Minute)},
	}
	s := operator.Service{
		Name: "service", IdempotentMethods: []string{"GET"},
		Deadline: operator.Duration(2 * time.Second), SlowStart: operator.Duration(10 * time.Second),
	}
	for i := range regions {
		r := operator.Region{
			Name:       fmt.Sprintf("region-%d", i),
			Capacity:   syntheticCapacity,
			QuotaSlots: proxies/regions + min(1, max(0, proxies%regions-i)),
		}
		for k := range domainsPerRegion {
			r.Domains = append(r.Domains, fmt.Sprintf("domain-%d-%d", i, k))
		}
		b.Regions = append(b.Regions, r)
		s.Servers = append(s.Servers, operator.Server{
			Name:    fmt.Sprintf("server-%d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Region:  r.Name, Domain: r.Domains[0], Slots: 64, MaxConnections: 100_000,
		})
	}
	b.Services = []operator.Service{s}
	return b
}
