package placing

import (
	"math"
	"time"
)

const (
	// MaxReplicas bounds the number of servers that one object is spread over. Each additional
	// server has to warm up for the object.
	MaxReplicas = 12
	// replicaSlotShare is the fraction of a server's slots that one object may use before it gets
	// another replica. The rest is for the server's other objects and for bursts of requests;
	// with a larger fraction those wait.
	replicaSlotShare = 0.6
)

// ReplicaCount returns how many servers an object needs at the given request rate, work per
// request and slots per server. It prevents hot spots: a few objects account for most of the
// requests, and with a single home server each would be rejected there while hundreds of other
// servers are idle.
func ReplicaCount(perSecond float64, work time.Duration, slots int) int {
	if slots < 1 {
		return 1
	}
	need := math.Ceil(perSecond * work.Seconds() / (replicaSlotShare * float64(slots)))
	return int(min(max(need, 1), MaxReplicas))
}
