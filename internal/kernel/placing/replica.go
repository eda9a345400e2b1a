package placing

import (
	"math"
	"time"
)

const (
	// MaxReplicas bounds the servers that one object is spread over. Each is
	// another one that has to learn the object.
	MaxReplicas = 12
	// replicaSlotShare is the part of a server's slots that one object may take before
	// it gets another replica. The rest is for the other objects of the server and
	// for requests that come in a bunch: at more, those wait.
	replicaSlotShare = 0.6
)

// ReplicaCount is how many servers an object needs that is asked for so often, with the
// given work, at servers with so many slots. The load that it answers: few objects
// make up much of what is asked, and all requests for one of them go to its home,
// which turns them away while hundreds of other servers idle.
func ReplicaCount(perSecond float64, work time.Duration, slots int) int {
	if slots < 1 {
		return 1
	}
	need := math.Ceil(perSecond * work.Seconds() / (replicaSlotShare * float64(slots)))
	return int(min(max(need, 1), MaxReplicas))
}
