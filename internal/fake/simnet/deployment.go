package simnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// scaleDownFactor multiplies service times and divides capacities, so that a test needs a
	// fraction of the events for the same utilisation.
	scaleDownFactor = 5
)

type (
	// Deployment describes one of the users' installations.
	Deployment struct {
		Name    string
		Proxies int
		Net     Delays
	}
)

// Deployments lists both installations of the users with the network delays stated in their brief.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "trinacria", Proxies: 10, Net: Delays{
			SameDomain: 250 * time.Microsecond, SameRegion: time.Millisecond,
			BetweenRegions: 35 * time.Millisecond, Client: time.Millisecond,
		}},
		{Name: "hokkaido", Proxies: 9, Net: Delays{
			SameDomain: 250 * time.Microsecond, SameRegion: 500 * time.Microsecond,
			BetweenRegions: 55 * time.Millisecond, Client: 8 * time.Millisecond,
		}},
	}
}

// Config returns the configuration of a run of the installation at full size with the given bundle,
// signed by author and approver.
func (d Deployment) Config(b *operator.Bundle, author, approver *operator.KeyPair) Config {
	return Config{
		Bundle:            b,
		Author:            author,
		Approver:          approver,
		Proxies:           d.Proxies,
		Net:               d.Net,
		ServiceTime:       20 * time.Millisecond,
		QueueLength:       8,
		ReportLag:         100 * time.Millisecond,
		ColdStartFactor:   3,
		ColdStartDuration: 10 * time.Second,
		VMListLag:         2 * time.Second,
	}
}

// ScaledDown returns the same configuration at a fraction of the capacity, with longer service
// times.
func (c Config) ScaledDown() Config {
	b := *c.Bundle
	b.Regions = append([]operator.Region(nil), c.Bundle.Regions...)
	for i := range b.Regions {
		b.Regions[i].Capacity /= scaleDownFactor
	}
	c.Bundle = &b
	c.ServiceTime *= scaleDownFactor
	return c
}
