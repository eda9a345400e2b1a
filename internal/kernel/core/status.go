package core

import (
	"fmt"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/region"
)

type (
	// Status is the state of one proxy, as reported to operators.
	Status struct {
		Self       peer.Member    `json:"self"`
		Bundle     uint64         `json:"bundle-version"`
		Assignment uint64         `json:"assignment-version"`
		Settled    uint64         `json:"settled-bundle"`
		Slots      int            `json:"quota-slots"`
		InFlight   int            `json:"in-flight"`
		Records    int            `json:"token-records"`
		Fenced     bool           `json:"fenced"`
		Stopping   bool           `json:"stopping"`
		Regions    []RegionStatus `json:"regions"`
		Servers    []ServerStatus `json:"backend-servers"`
	}

	// RegionStatus is the state of a region as seen by one proxy. Rates are requests per second of
	// this proxy alone.
	RegionStatus struct {
		Name     string     `json:"name"`
		Capacity int        `json:"capacity-per-second"`
		Limit    int        `json:"own-limit-per-second"`
		Used     int        `json:"own-used-per-second"`
		Lost     bool       `json:"lost"`
		Row      region.Row `json:"row-permille"`
	}

	// ServerStatus is the state of a backend server as seen by one proxy.
	ServerStatus struct {
		Name            string        `json:"name"`
		Service         string        `json:"service"`
		Region          string        `json:"region"`
		InFlight        int           `json:"in-flight"`
		Draining        bool          `json:"leaving"`
		Ejected         bool          `json:"out"`
		Latency         time.Duration `json:"latency-ns"`
		ConnectionLimit int           `json:"connection-limit"`
	}
)

// Status returns the state of the proxy.
func (k *Kernel) Status(now time.Time) Status {
	s := Status{
		Self:     k.members.Self(),
		Bundle:   k.BundleVersion(),
		InFlight: k.inFlight,
		Records:  k.tokenRecords.Len(),
		Fenced:   k.fenced,
		Stopping: k.stopping,
	}
	if k.assignment != nil {
		s.Assignment = k.assignment.Version
		s.Settled = k.assignment.BaseVersion
		s.Slots = len(k.assignment.SlotsOf(k.holder()))
	}
	for _, r := range k.regions {
		s.Regions = append(s.Regions, RegionStatus{
			Name:     r.Name,
			Capacity: r.Capacity,
			Limit:    r.quota.Limit(now),
			Used:     r.quota.Used(now),
			Lost:     r.lost,
			Row:      append(region.Row(nil), r.shifter.Row()...),
		})
	}
	if k.bundle == nil {
		return s
	}
	for i := range k.bundle.Services {
		name := k.bundle.Services[i].Name
		for _, server := range k.services[name].servers {
			s.Servers = append(s.Servers, ServerStatus{
				Name:            server.Name,
				Service:         name,
				Region:          server.Region,
				InFlight:        server.InFlight(),
				Draining:        server.Draining(),
				Ejected:         server.Ejected(),
				Latency:         server.Latency(),
				ConnectionLimit: k.connectionLimit(server),
			})
		}
	}
	return s
}

func formatPermille(share int) string {
	return fmt.Sprintf("%d.%d%%", share/10, share%10)
}
