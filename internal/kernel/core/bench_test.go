package core

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

// readyKernel returns a kernel with the example bundle that holds all quota slots.
func readyKernel(tb testing.TB) (*Kernel, time.Time) {
	tb.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "trinacria.json"))
	if err != nil {
		tb.Fatal(err)
	}
	b, err := operator.ParseBundle(data)
	if err != nil {
		tb.Fatal(err)
	}
	anna, err := operator.NewKeyPair("anna")
	if err != nil {
		tb.Fatal(err)
	}
	bruno, err := operator.NewKeyPair("bruno")
	if err != nil {
		tb.Fatal(err)
	}
	e, err := anna.Propose(b)
	if err != nil {
		tb.Fatal(err)
	}
	if err := bruno.Approve(e); err != nil {
		tb.Fatal(err)
	}
	now := time.Unix(1_000_000, 0)
	k := New(Config{
		Self:  peer.Member{Name: "proxy-1", Region: "palermo", Domain: "palermo-a", Incarnation: 1, Address: netip.MustParseAddrPort("127.0.0.1:80")},
		Trust: operator.TrustedKeys{anna.TrustedKey(), bruno.TrustedKey()},
	}, now)
	k.ApplyBundle(now, e.Encode())
	a := &kv.Assignment{Version: 1, BaseVersion: 1, BaseCapacities: kv.CapacitiesOf(b)}
	for range b.QuotaSlots() {
		a.Slots = append(a.Slots, k.holder())
	}
	k.ApplyAssignment(now, a)
	k.Tick(now)
	if got, want := k.BundleVersion(), uint64(1); got != want {
		tb.Fatalf("got bundle %d, want %d", got, want)
	}
	return k, now
}

func BenchmarkDispatch(b *testing.B) {
	k, now := readyKernel(b)
	r := Request{Service: "notice-board", Method: "GET", Path: "/item", Client: netip.MustParseAddr("10.10.1.1")}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		k.lastTick = now
		d := k.BeginRequest(now, r)
		if d.Step != StepDispatch {
			b.Fatalf("got step %d (%s), want a dispatch", d.Step, d.Result.Reason)
		}
		k.EndAttempt(now, AttemptEnd{Attempt: d.Attempt, Result: backend.Completed})
	}
}

func BenchmarkLookup(b *testing.B) {
	k, now := readyKernel(b)
	for i := range 1300 {
		k.members.Merge(peer.Member{
			Name: "vm-" + string(rune('a'+i%26)) + string(rune('a'+i/26)), State: peer.StateLive, Incarnation: 1,
			Region: k.regions[i%3].Name,
		}, now)
	}
	client := netip.MustParseAddr("10.10.1.1")
	b.ReportAllocs()
	for b.Loop() {
		k.Lookup(now, "notice-board", client)
	}
}
