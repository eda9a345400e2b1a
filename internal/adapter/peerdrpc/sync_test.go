package peerdrpc

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerpb"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
)

// registrationSync returns a full copy of the store with the registrations of n servers.
func registrationSync(n int) SyncMessage {
	m := SyncMessage{From: "proxy-a", Delta: replica.Delta{Revision: replica.Position(n), Full: true, Age: time.Second, KeyDigest: 1 << 63}}
	r := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		m.Entries = append(m.Entries, replica.Entry{
			Key: fmt.Sprintf("servers/i-%010x", r.Uint64()>>24), Revision: replica.Position(i + 1),
			Value: fmt.Appendf(nil, `{"service":"s%d","address":"10.%d.%d.%d:%d","failure-domain":"north-%d","version":"v1","slots":4,"state":"ready","cold":"0ms","sequence":%d}`,
				i%4, 1+i%3, 64+r.IntN(4), r.IntN(250), 8000+r.IntN(1000), i%6, 1+r.IntN(40)),
		})
	}
	return m
}

// Few entries are sent uncompressed and many compressed. Both must be received unchanged.
func TestSyncMessagesRoundTrip(t *testing.T) {
	for _, n := range []int{0, 3, 500} {
		want := registrationSync(n)
		want.MayMissRemovals, want.Leaving, want.OtherPeers = true, true, []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:7001")}
		want.Available = replica.Span{Known: n > 0, Began: time.Duration(n) * time.Second, Ended: time.Duration(n) * time.Millisecond}
		for i := range want.Entries {
			want.Entries[i].Removed, want.Entries[i].Tentative = i%3 == 1, i%6 == 1
		}
		out, err := encodeSync(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeSync(out)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%d entries: got %v (%v), want %v", n, got, err, want)
		}
	}
}

// A faulty peer's claim that the store was available must not be used.
func TestInvalidSpansAreRejected(t *testing.T) {
	for _, s := range []*peerpb.Span{{BeganMilli: 1, EndedMilli: 2}, {BeganMilli: 1, EndedMilli: -1}, {BeganMilli: math.MaxInt64}} {
		if _, err := decodeSync(&peerpb.SyncMessage{Available: s}); err == nil || !strings.Contains(err.Error(), "available") {
			t.Errorf("%v: got error %v, want one that names the field", s, err)
		}
	}
}

// A faulty peer, or one of another version, may send entries that cannot be decompressed. They must
// be rejected and not be taken for a copy without entries, which would remove all entries.
func TestCorruptCompressedEntriesAreRejected(t *testing.T) {
	out, err := encodeSync(registrationSync(500))
	if err != nil {
		t.Fatal(err)
	}
	for name, compressed := range map[string][]byte{"cut": out.GetPacked()[:len(out.GetPacked())/2], "garbage": []byte("no pack")} {
		corrupt := proto.CloneOf(out)
		corrupt.Packed = compressed
		if _, err := decodeSync(corrupt); err == nil {
			t.Errorf("%s: got no error, want one", name)
		}
	}
}

func BenchmarkCompressEntries(b *testing.B) {
	m := registrationSync(3000)
	size := 0
	for b.Loop() {
		out, err := encodeSync(m)
		if err != nil {
			b.Fatal(err)
		}
		size = len(out.GetPacked())
	}
	b.ReportMetric(float64(m.Size())/float64(size), "x-smaller")
	b.ReportMetric(float64(size), "bytes")
}

// Guards against a proxy without a copy whose failure domain is lost on the way: it would get its
// copy from far away.
func TestDomainOfNewProxyIsReceived(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan string, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- ServeSync(ctx, listener, SyncHandlers{Sync: func(m SyncMessage) SyncMessage { received <- m.Domain; return SyncMessage{} }})
	}()
	client := NewClient(func() *tls.Config { return nil })
	for _, want := range []string{"north-a", ""} {
		if _, err := client.Sync(ctx, netip.MustParseAddrPort(listener.Addr().String()), SyncMessage{From: "new", Domain: want}); err != nil {
			t.Fatal(err)
		}
		if got := <-received; got != want {
			t.Errorf("received the failure domain %q, want %q", got, want)
		}
	}
	if err := client.Close(); err != nil {
		t.Error(err)
	}
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		t.Errorf("the peer's server ended with %v", err)
	}
}
