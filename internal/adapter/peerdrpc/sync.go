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
	"storj.io/drpc/drpcmetadata"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerpb"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// minCompressBytes is the size from which entries are compressed. A smaller message takes
	// only one packet or a few.
	minCompressBytes = 4 << 10
	// compressionLevel is the fastest level, since registrations are similar enough to compress
	// well (BenchmarkCompressEntries).
	compressionLevel = flate.BestSpeed
	// domainMetadata is the metadata of a call that holds the failure domain of the caller.
	domainMetadata = "failure-domain"
	// maxDecompressedBytes limits the decompressed size of the entries in a peer's message.
	maxDecompressedBytes = 64 << 20
	// maxSpanMillis bounds the ages in a peer's message: a century.
	maxSpanMillis = 100 * 365 * 24 * 3600 * 1000
)

type (
	// SyncMessage is exchanged between two proxies to synchronize their copies of the store.
	SyncMessage struct {
		From string
		// StartMillis is the start time of the sender's process in Unix milliseconds, by its own
		// clock, or zero if it is not known.
		StartMillis int64
		// Domain is the failure domain of a sender that has no copy yet. It may be empty. It is sent
		// beside the message, so a receiver of an earlier version does not see it.
		Domain  string
		Leaving bool
		replica.Delta
		// LearnedLimits are the services whose concurrency the sender limits by evidence of its
		// own.
		LearnedLimits []steering.ServiceLimit
		// QuarantineReports are about requests that were in flight when servers crashed.
		QuarantineReports []quarantine.Report
		// BackpressureReports are the backpressure signals of backend servers to all proxies.
		BackpressureReports []backpressure.Report
		// OtherPeers may have the data that the sender may not send at present.
		OtherPeers []netip.AddrPort
	}

	syncService struct {
		handlers SyncHandlers
	}
)

// Sync implements peerpb.DRPCReplicaServer.
func (s *syncService) Sync(ctx context.Context, in *peerpb.SyncMessage) (*peerpb.SyncMessage, error) {
	m, err := decodeSync(in)
	if err != nil {
		return nil, err
	}
	if metadata, ok := drpcmetadata.Get(ctx); ok {
		m.Domain = metadata[domainMetadata]
	}
	return encodeSync(s.handlers.Sync(m))
}

// Sync synchronizes the copies of the store with a peer.
func (c *Client) Sync(ctx context.Context, to netip.AddrPort, m SyncMessage) (SyncMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if m.Domain != "" {
		ctx = drpcmetadata.Add(ctx, domainMetadata, m.Domain)
	}
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
		From: m.From, StartedUnixMilli: m.StartMillis, Leaving: m.Leaving, Revision: m.Revision.Revision(), AgeMilli: m.Age.Milliseconds(), Base: m.Base.Revision(), Whole: m.Full,
		Era:    m.Revision.Era(),
		Unsure: m.MayMissRemovals, Keys: m.KeyDigest,
	}
	if m.Available.Known {
		out.Available = &peerpb.Span{BeganMilli: m.Available.Began.Milliseconds(), EndedMilli: m.Available.Ended.Milliseconds()}
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
		entries = append(entries, &peerpb.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision.Revision(), Removed: e.Removed, Doubtful: e.Tentative})
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
	era := in.GetEra()
	m.Base, m.Revision, m.Full = replica.NewPosition(era, in.GetBase()), replica.NewPosition(era, in.GetRevision()), in.GetWhole()
	m.MayMissRemovals, m.KeyDigest = in.GetUnsure(), in.GetKeys()
	m.Age = time.Duration(in.GetAgeMilli()) * time.Millisecond
	var err error
	if m.Available, err = decodeSpan(in.GetAvailable()); err != nil {
		return SyncMessage{}, err
	}
	for _, text := range in.GetOthers() {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return SyncMessage{}, errors.Wrap(err, "parse others")
		}
		m.OtherPeers = append(m.OtherPeers, a)
	}
	for _, h := range in.GetHeld() {
		m.LearnedLimits = append(m.LearnedLimits, steering.ServiceLimit{Service: h.GetService(), Limit: decodeLimit(h)})
	}
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
			Key: e.GetKey(), Value: e.GetValue(), Revision: replica.NewPosition(era, e.GetRevision()), Removed: e.GetRemoved(), Tentative: e.GetDoubtful(),
		})
	}
	return m, nil
}

// decodeSpan decodes the period in which the store was available. It is unknown to peers of an earlier
// version.
func decodeSpan(in *peerpb.Span) (replica.Span, error) {
	if in == nil {
		return replica.Span{}, nil
	}
	began, ended := in.GetBeganMilli(), in.GetEndedMilli()
	if ended < 0 || began < ended || began > maxSpanMillis {
		return replica.Span{}, errors.Errorf("available: must be two ages in milliseconds, the first not below the second, got %d and %d", began, ended)
	}
	return replica.Span{Known: true, Began: time.Duration(began) * time.Millisecond, Ended: time.Duration(ended) * time.Millisecond}, nil
}

// compressEntries encodes and compresses entries. Registrations are similar and compress well.
func compressEntries(entries []*peerpb.Entry) ([]byte, error) {
	encoded, err := proto.Marshal(&peerpb.Entries{Entries: entries})
	if err != nil {
		return nil, errors.Wrap(err, "compress entries")
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, compressionLevel)
	if err != nil {
		return nil, errors.Wrap(err, "compress entries")
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compress entries")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress entries")
	}
	return compressed.Bytes(), nil
}

func decompressEntries(compressed []byte) ([]*peerpb.Entry, error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxDecompressedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress entries")
	}
	if len(encoded) > maxDecompressedBytes {
		return nil, errors.Errorf("decompress entries: more than %d bytes", maxDecompressedBytes)
	}
	var entries peerpb.Entries
	if err := proto.Unmarshal(encoded, &entries); err != nil {
		return nil, errors.Wrap(err, "decompress entries")
	}
	return entries.GetEntries(), nil
}
