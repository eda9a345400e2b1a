package admission

import (
	"time"
)

const (
	// slotsPerReserved is the number of slots of a server of which one is reserved for urgent
	// requests, rounded so that servers with fewer than six have none: it would be more than a sixth
	// of their capacity.
	slotsPerReserved = 8
	reservedRounding = 2
	// maxYieldWaitShare is the largest part of its slack that a request waits for a slot. After a
	// longer wait, a rejected caller would have no time left to return.
	maxYieldWaitShare = 0.25
	// maxUtilizationElsewhere is the utilization of a region up to which a request that gets no slot
	// at one server may go to another, where it runs cold.
	maxUtilizationElsewhere = 0.8
)

// ReservedSlots returns how many slots of a server are reserved for the more urgent requests of its
// service while there are any.
func ReservedSlots(slots int) int { return (slots + reservedRounding) / slotsPerReserved }

// MaxYieldWait returns how long a request may wait for a slot that is not reserved, given its slack:
// how long it can wait and still get a response in time.
func MaxYieldWait(slack time.Duration) time.Duration {
	return time.Duration(maxYieldWaitShare * float64(max(0, slack)))
}

// AllowsElsewhere reports whether a request that gets no slot at its home may run cold at another
// server, given the load of the region.
func AllowsElsewhere(utilization float64) bool { return utilization < maxUtilizationElsewhere }
