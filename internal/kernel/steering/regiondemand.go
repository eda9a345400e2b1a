package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
)

// RegionDemand lists the measured demand of all regions for a peer.
func (k *Kernel) RegionDemand(now time.Time) []placing.DemandFigure {
	return k.regionDemands.Figures(now)
}

// ApplyRegionDemand merges the measured demand of regions that a peer knows.
func (k *Kernel) ApplyRegionDemand(now time.Time, list []placing.DemandFigure) {
	if len(list) == 0 {
		return
	}
	k.record(Call{Method: callRegionDemand, At: now, DemandFigures: list})
	k.regionDemands.Apply(now, list)
}

// usesMeasuredDemand reports whether the demand of the regions for a service is the measured one
// rather than the number of their failure domains.
func (k *Kernel) usesMeasuredDemand(service string) bool {
	return k.isEnabled(MechanismRegionDemand) && k.regionDemands.Measured(service)
}

// chooseDemand decides from the utilization of a service's servers in this region whether measured
// demand is used. While there is capacity, homes that follow the demand would only run cold.
func (k *Kernel) chooseDemand(now time.Time, svc *service) {
	utilization := svc.capacity.Load(now, k.config.Region).Utilization
	if k.regionDemands.ObserveUtilization(svc.name, utilization) && k.isEnabled(MechanismRegionDemand) {
		k.config.Observe(Event{Kind: EventRegionDemand, At: now, Service: svc.name, Region: k.config.Region, Share: utilization, Measured: k.regionDemands.Measured(svc.name)})
	}
}
