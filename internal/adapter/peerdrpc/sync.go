package peerdrpc

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerpb"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// packFrom is the size of the entries, in bytes, from which they are
	// packed. Below it a message is a packet or a few.
	packFrom = 4 << 10
	// packLevel is the fastest: registrations are much alike (BenchmarkPack).
	packLevel = flate.BestSpeed
	// unpackMost bounds what a peer's message may unpack to, in bytes.
	unpackMost = 64 << 20
)

type (
	// SyncMessage is what two proxies tell each other of their copies.
	SyncMessage struct {
		From string
		// Started is when the sender's process started: Unix milliseconds of its
		// own clock, zero if it does not tell.
		Started int64
		Leaving bool
		replica.Delta
		// Held are the services that the sender holds back by its own signs.
		Held []steering.ServiceLimit
		// Suspicions are works that were there at the ends of servers.
		Suspicions []quarantine.Report
		// Signals are what backend servers ask of all proxies.
		Signals []backpressure.Report
		// Others may have what the sender may not give away now.
		Others []netip.AddrPort
	}

	syncService struct {
		handlers SyncHandlers
	}
)

// Sync implements the generated interface.
func (s *syncService) Sync(_ context.Context, in *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	m, err := syncIn(in)
	if err != nil {
		return nil, err
	}
	return syncOut(s.handlers.Sync(m))
}

// Sync exchanges copies with a peer.
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, m SyncMessage) (SyncMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	in, err := syncOut(m)
	if err != nil {
		return SyncMessage{}, err
	}
	out, err := peerpb.NewDRPCReplicaClient(c.pool.Get(ctx, to, c.dial)).Sync(ctx, in)
	if err != nil {
		return SyncMessage{}, errors.Wrap(err, "sync")
	}
	return syncIn(out)
}

func syncOut(m SyncMessage) (*peerpb.SyncMessage, error) {
	out := &peerpb.SyncMessage{
		From: m.From, StartedUnixMilli: m.Started, Leaving: m.Leaving, Revision: m.Revision, AgeMilli: m.Age.Milliseconds(), Base: m.Base, Whole: m.Full,
		Unsure: m.MayMissRemovals, Keys: m.KeyDigest,
	}
	for _, a := range m.Others {
		out.Others = append(out.Others, a.String())
	}
	for _, h := range m.Held {
		out.Held = append(out.Held, limitOut(h.Service, h.Limit))
	}
	out.Suspicions, out.Signals = suspicionsOut(m.Suspicions), signalsOut(m.Signals)
	entries := make([]*peerpb.Entry, 0, len(m.Entries))
	for _, e := range m.Entries {
		entries = append(entries, &peerpb.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Removed: e.Removed, Doubtful: e.Tentative})
	}
	if m.Size() < packFrom {
		out.Entries = entries
		return out, nil
	}
	var err error
	out.Packed, err = pack(entries)
	return out, err
}

func syncIn(in *peerpb.SyncMessage) (SyncMessage, error) {
	m := SyncMessage{From: in.GetFrom(), Started: in.GetStartedUnixMilli(), Leaving: in.GetLeaving()}
	m.Base, m.Revision, m.Full = in.GetBase(), in.GetRevision(), in.GetWhole()
	m.MayMissRemovals, m.KeyDigest = in.GetUnsure(), in.GetKeys()
	m.Age = time.Duration(in.GetAgeMilli()) * time.Millisecond
	for _, text := range in.GetOthers() {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return SyncMessage{}, errors.Wrap(err, "others")
		}
		m.Others = append(m.Others, a)
	}
	for _, h := range in.GetHeld() {
		m.Held = append(m.Held, steering.ServiceLimit{Service: h.GetService(), Limit: limitIn(h)})
	}
	var err error
	if m.Suspicions, err = suspicionsIn(in.GetSuspicions()); err != nil {
		return SyncMessage{}, err
	}
	if m.Signals, err = signalsIn(in.GetSignals()); err != nil {
		return SyncMessage{}, err
	}
	entries := in.GetEntries()
	if len(in.GetPacked()) > 0 {
		if entries, err = unpack(in.GetPacked()); err != nil {
			return SyncMessage{}, err
		}
	}
	for _, e := range entries {
		m.Entries = append(m.Entries, replica.Entry{
			Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision(), Removed: e.GetRemoved(), Tentative: e.GetDoubtful(),
		})
	}
	return m, nil
}

// pack compresses entries: registrations are much alike.
func pack(entries []*peerpb.Entry) ([]byte, error) {
	plain, err := proto.Marshal(&peerpb.Entries{Entries: entries})
	if err != nil {
		return nil, errors.Wrap(err, "pack entries")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, packLevel)
	if err != nil {
		return nil, errors.Wrap(err, "pack entries")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "pack entries")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack entries")
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte) ([]*peerpb.Entry, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), unpackMost+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack entries")
	}
	if len(plain) > unpackMost {
		return nil, errors.Errorf("unpack entries: over %d bytes", unpackMost)
	}
	var entries peerpb.Entries
	if err := proto.Unmarshal(plain, &entries); err != nil {
		return nil, errors.Wrap(err, "unpack entries")
	}
	return entries.GetEntries(), nil
}
