package quarantine

import (
	"slices"
	"time"
)

const (
	// lossTTL is how long a break may wait for a sign that its server has ended: until
	// the registration of a server that sends nothing has run out everywhere.
	lossTTL = 10 * time.Second
	// maxFingerprintsPerLoss bounds the works noted for one server's end: more than it has
	// slots and queue for one proxy.
	maxFingerprintsPerLoss = 64
	// maxProbes is how often a silent server is dialled to learn whether it has ended.
	maxProbes = 2
)

type (
	// pendingLosses are the servers at which exchanges broke and of which it is not known
	// whether they have ended. A cut connection, a spoilt answer or a partition
	// breaks exchanges as an end does, but the server answers others afterwards.
	pendingLosses map[InstanceID]*pendingLoss

	pendingLoss struct {
		// lastLoss is when the last exchange broke.
		lastLoss     time.Time
		fingerprints []Fingerprint
		// answered is set once the server has answered a later request.
		answered bool
		probes   int
	}
)

func (b pendingLosses) add(now time.Time, fp Fingerprint, server InstanceID) {
	loss := b[server]
	if loss == nil || loss.answered {
		loss = &pendingLoss{}
		b[server] = loss
	}
	loss.lastLoss = now
	if len(loss.fingerprints) < maxFingerprintsPerLoss && !slices.Contains(loss.fingerprints, fp) {
		loss.fingerprints = append(loss.fingerprints, fp)
	}
}

func (b pendingLosses) recordResponse(server InstanceID, sentAt time.Time) {
	if loss := b[server]; loss != nil && sentAt.After(loss.lastLoss) {
		loss.answered = true
	}
}

func (b pendingLosses) expire(now time.Time) {
	for server, loss := range b {
		if now.Sub(loss.lastLoss) > lossTTL {
			delete(b, server)
		}
	}
}

// HasPendingLoss reports whether exchanges broke at a server of which it is not known yet whether
// it has ended.
func (t *Tracker) HasPendingLoss(server InstanceID) bool { return t.losses[server] != nil }

// ServersToProbe lists the servers that should be dialled: exchanges broke there, and nothing
// was heard of them since.
func (t *Tracker) ServersToProbe() []InstanceID {
	t.probeNeeded = false
	var servers []InstanceID
	for server, loss := range t.losses {
		if !loss.answered && loss.probes < maxProbes {
			loss.probes++
			servers = append(servers, server)
		}
	}
	return servers
}
