package quarantine

import (
	"slices"
	"time"
)

const (
	// lossTTL is how long a connection loss waits for evidence that its server has crashed: until
	// the registration of a server that sends no heartbeats has expired on all proxies.
	lossTTL = 10 * time.Second
	// maxFingerprintsPerLoss bounds the fingerprints recorded for one server crash. It exceeds the
	// slots and queue that a server has for one proxy.
	maxFingerprintsPerLoss = 64
	// maxProbes is how often an unresponsive server is probed to learn whether it has crashed.
	maxProbes = 2
)

type (
	// pendingLosses holds the servers to which connections were lost while requests were in flight
	// and that are not yet known to have crashed. A reset connection, a truncated response or a
	// network partition looks like a crash, but after those the server responds to later requests.
	pendingLosses map[InstanceID]*pendingLoss

	pendingLoss struct {
		// lastLoss is when the most recent connection was lost.
		lastLoss     time.Time
		fingerprints []Fingerprint
		// responded is set once the server has responded to a later request.
		responded bool
		probes    int
	}
)

func (p pendingLosses) add(now time.Time, fp Fingerprint, server InstanceID) {
	loss := p[server]
	if loss == nil || loss.responded {
		loss = &pendingLoss{}
		p[server] = loss
	}
	loss.lastLoss = now
	if len(loss.fingerprints) < maxFingerprintsPerLoss && !slices.Contains(loss.fingerprints, fp) {
		loss.fingerprints = append(loss.fingerprints, fp)
	}
}

func (p pendingLosses) recordResponse(server InstanceID, sentAt time.Time) {
	if loss := p[server]; loss != nil && sentAt.After(loss.lastLoss) {
		loss.responded = true
	}
}

func (p pendingLosses) expire(now time.Time) {
	for server, loss := range p {
		if now.Sub(loss.lastLoss) > lossTTL {
			delete(p, server)
		}
	}
}

// HasPendingLoss reports whether connections to a server were lost and it is not yet known whether
// the server crashed.
func (t *Tracker) HasPendingLoss(server InstanceID) bool { return t.losses[server] != nil }

// ServersToProbe returns the servers to probe: connections to them were lost with requests in
// flight, and they have not responded since. It counts as a probe of each.
func (t *Tracker) ServersToProbe() []InstanceID {
	t.probeNeeded = false
	var servers []InstanceID
	for server, loss := range t.losses {
		if !loss.responded && loss.probes < maxProbes {
			loss.probes++
			servers = append(servers, server)
		}
	}
	return servers
}
