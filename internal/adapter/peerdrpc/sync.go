package peerdrpc

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerpb"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
)

type (
	// SyncMessage is what two proxies tell each other of their copies.
	SyncMessage struct {
		From    string
		Leaving bool
		replica.Delta
	}

	syncService struct {
		sync func(SyncMessage) SyncMessage
	}
)

// Sync implements the generated interface.
func (s *syncService) Sync(_ context.Context, in *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	return syncOut(s.sync(syncIn(in))), nil
}

// Sync exchanges copies with a peer.
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, m SyncMessage) (SyncMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out, err := peerpb.NewDRPCReplicaClient(c.pool.Get(ctx, to, c.dial)).Sync(ctx, syncOut(m))
	if err != nil {
		return SyncMessage{}, errors.Wrap(err, "sync")
	}
	return syncIn(out), nil
}

func syncOut(m SyncMessage) *peerpb.SyncMessage {
	out := &peerpb.SyncMessage{
		From: m.From, Leaving: m.Leaving, Revision: m.Revision, AgeMilli: m.Age.Milliseconds(), Base: m.Base, Whole: m.Whole,
	}
	for _, e := range m.Entries {
		out.Entries = append(out.Entries, &peerpb.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Removed: e.Removed})
	}
	return out
}

func syncIn(in *peerpb.SyncMessage) SyncMessage {
	m := SyncMessage{From: in.GetFrom(), Leaving: in.GetLeaving()}
	m.Base, m.Revision, m.Whole = in.GetBase(), in.GetRevision(), in.GetWhole()
	m.Age = time.Duration(in.GetAgeMilli()) * time.Millisecond
	for _, e := range in.GetEntries() {
		m.Entries = append(m.Entries, replica.Entry{
			Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Removed: e.GetRemoved(),
		})
	}
	return m
}
