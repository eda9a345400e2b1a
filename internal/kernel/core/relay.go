package core

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// relaysPerDomain is the number of proxies per failure domain that watch the platform. Two
	// tolerate the loss of one, and the number of platform calls grows with the number of failure
	// domains instead of the number of proxies.
	relaysPerDomain = 2
)

// IsRelay reports whether this proxy watches the platform for its failure domain: whether it is
// among the relaysPerDomain serving members of the domain with the highest rendezvous hashes.
func (k *Kernel) IsRelay() bool {
	var names []string
	for _, m := range k.members.Serving() {
		if m.Domain == k.config.Self.Domain {
			names = append(names, m.Name)
		}
	}
	ranked := peer.RendezvousRank("relay/"+k.config.Self.Domain, names)
	for _, name := range ranked[:min(relaysPerDomain, len(ranked))] {
		if name == k.config.Self.Name {
			return true
		}
	}
	return len(ranked) == 0
}

// RepairBundle returns the envelope to write to the platform if the stored bundle is invalid or
// older than the one in force here, or nil if the stored value is current.
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

// RepairAssignment returns the assignment to write to the platform if the stored one is missing or
// older than the one known here, or nil if the stored value is current.
func (k *Kernel) RepairAssignment(stored *kv.Assignment) []byte {
	if k.assignment == nil || stored != nil && stored.Version >= k.assignment.Version {
		return nil
	}
	return k.assignment.Encode()
}
