package simnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// scaleDownFactor stretches service times and shrinks rates alike, so that a
	// test needs a fraction of the events for the same utilisation.
	scaleDownFactor = 5
)

type (
	// Deployment is one of the users' installations.
	Deployment struct {
		Name    string
		Proxies int
		Net     Delays
	}
)

// Deployments lists both users' installations with the brief's delays.
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

// Config is a run of the installation with its bundle at full size.
func (d Deployment) Config(b *operator.Bundle, author, second *operator.KeyPair) Config {
	return Config{
		Bundle:            b,
		Author:            author,
		Approver:          second,
		Proxies:           d.Proxies,
		Net:               d.Net,
		ServiceTime:       20 * time.Millisecond,
		QueueLength:       8,
		ReportLag:         100 * time.Millisecond,
		ColdStartFactor:   3,
		ColdStartDuration: 10 * time.Second,
		MachineListLag:    2 * time.Second,
	}
}

// ScaledDown is the same at a fraction of the rate, with longer service times.
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
