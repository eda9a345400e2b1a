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
	// minCompressBytes is the size of the entries, in bytes, from which they are
	// packed. Below it a message is a packet or a few.
	minCompressBytes = 4 << 10
	// compressionLevel is the fastest: registrations are much alike (BenchmarkCompressEntries).
	compressionLevel = flate.BestSpeed
	// maxDecompressedBytes bounds what a peer's message may unpack to, in bytes.
	maxDecompressedBytes = 64 << 20
)

type (
	// SyncMessage is what two proxies tell each other of their copies.
	SyncMessage struct {
		From string
		// StartMillis is when the sender's process started: Unix milliseconds of its
		// own clock, zero if it does not tell.
		StartMillis int64
		Leaving     bool
		replica.Delta
		// LearnedLimits are the services that the sender holds back by its own signs.
		LearnedLimits []steering.ServiceLimit
		// QuarantineReports are works that were there at the ends of servers.
		QuarantineReports []quarantine.Report
		// BackpressureReports are what backend servers ask of all proxies.
		BackpressureReports []backpressure.Report
		// OtherPeers may have what the sender may not give away now.
		OtherPeers []netip.AddrPort
	}

	syncService struct {
		handlers SyncHandlers
	}
)

// Sync implements the generated interface.
func (s *syncService) Sync(_ context.Context, in *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	m, err := decodeSync(in)
	if err != nil {
		return nil, err
	}
	return encodeSync(s.handlers.Sync(m))
}

// Sync exchanges copies with a peer.
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, m SyncMessage) (SyncMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	in, err := encodeSync(m)
	if err != nil {
		return SyncMessage{}, err
	}
	out, err := peerpb.NewDRPCReplicaClient(c.pool.Get(ctx, to, c.dial)).Sync(ctx, in)
	if err != nil {
		return SyncMessage{}, errors.Wrap(err, "sync")
	}
	return decodeSync(out)
}

func encodeSync(m SyncMessage) (*peerpb.SyncMessage, error) {
	out := &peerpb.SyncMessage{
		From: m.From, StartedUnixMilli: m.StartMillis, Leaving: m.Leaving, Revision: m.Revision, AgeMilli: m.Age.Milliseconds(), Base: m.Base, Whole: m.Full,
		Unsure: m.MayMissRemovals, Keys: m.KeyDigest,
	}
	for _, a := range m.OtherPeers {
		out.Others = append(out.Others, a.String())
	}
	for _, h := range m.LearnedLimits {
		out.Held = append(out.Held, encodeLimit(h.Service, h.Limit))
	}
	out.Suspicions, out.Signals = encodeQuarantineReports(m.QuarantineReports), encodeBackpressureReports(m.BackpressureReports)
	entries := make([]*peerpb.Entry, 0, len(m.Entries))
	for _, e := range m.Entries {
		entries = append(entries, &peerpb.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision, Removed: e.Removed, Doubtful: e.Tentative})
	}
	if m.Size() < minCompressBytes {
		out.Entries = entries
		return out, nil
	}
	var err error
	out.Packed, err = compressEntries(entries)
	return out, err
}

func decodeSync(in *peerpb.SyncMessage) (SyncMessage, error) {
	m := SyncMessage{From: in.GetFrom(), StartMillis: in.GetStartedUnixMilli(), Leaving: in.GetLeaving()}
	m.Base, m.Revision, m.Full = in.GetBase(), in.GetRevision(), in.GetWhole()
	m.MayMissRemovals, m.KeyDigest = in.GetUnsure(), in.GetKeys()
	m.Age = time.Duration(in.GetAgeMilli()) * time.Millisecond
	for _, text := range in.GetOthers() {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return SyncMessage{}, errors.Wrap(err, "others")
		}
		m.OtherPeers = append(m.OtherPeers, a)
	}
	for _, h := range in.GetHeld() {
		m.LearnedLimits = append(m.LearnedLimits, steering.ServiceLimit{Service: h.GetService(), Limit: decodeLimit(h)})
	}
	var err error
	if m.QuarantineReports, err = decodeQuarantineReports(in.GetSuspicions()); err != nil {
		return SyncMessage{}, err
	}
	if m.BackpressureReports, err = decodeBackpressureReports(in.GetSignals()); err != nil {
		return SyncMessage{}, err
	}
	entries := in.GetEntries()
	if len(in.GetPacked()) > 0 {
		if entries, err = decompressEntries(in.GetPacked()); err != nil {
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

// compressEntries compresses entries: registrations are much alike.
func compressEntries(entries []*peerpb.Entry) ([]byte, error) {
	plain, err := proto.Marshal(&peerpb.Entries{Entries: entries})
	if err != nil {
		return nil, errors.Wrap(err, "pack entries")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, compressionLevel)
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

func decompressEntries(packed []byte) ([]*peerpb.Entry, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack entries")
	}
	if len(plain) > maxDecompressedBytes {
		return nil, errors.Errorf("unpack entries: over %d bytes", maxDecompressedBytes)
	}
	var entries peerpb.Entries
	if err := proto.Unmarshal(plain, &entries); err != nil {
		return nil, errors.Wrap(err, "unpack entries")
	}
	return entries.GetEntries(), nil
}
