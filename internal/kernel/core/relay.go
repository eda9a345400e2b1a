package core

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// relaysPerDomain watch the platform for their failure domain. Two, so
	// that the loss of one costs nothing; the number of calls then grows with
	// the failure domains and not with the proxies.
	relaysPerDomain = 2
)

// IsRelay reports whether this proxy watches the platform for its failure
// domain: the highest rendezvous hashes among the live members there.
func (k *Kernel) IsRelay() bool {
	var names []string
	for _, m := range k.members.Serving() {
		if m.Domain == k.config.Self.Domain {
			names = append(names, m.Name)
		}
	}
	ranked := peer.Rendezvous("relay/"+k.config.Self.Domain, names)
	for _, name := range ranked[:min(relaysPerDomain, len(ranked))] {
		if name == k.config.Self.Name {
			return true
		}
	}
	return len(ranked) == 0
}

// RepairBundle returns what to write in place of the platform's value when
// that is older than the bundle in force here, or nil.
func (k *Kernel) RepairBundle(stored []byte) []byte {
	if k.bundle == nil {
		return nil
	}
	if e, err := operator.ParseEnvelope(stored); err == nil {
		if b, err := k.config.Trust.Verify(e); err == nil && b.Version >= k.bundle.Version {
			return nil
		}
	}
	return k.envelope
}

// RepairAssignment is the same for the assignment of quota slots.
func (k *Kernel) RepairAssignment(stored *kv.Assignment) []byte {
	if k.assignment == nil || stored != nil && stored.Version >= k.assignment.Version {
		return nil
	}
	return k.assignment.Encode()
}
