package forward

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
)

type (
	// countingStore counts a registrar's calls and answers them with err.
	countingStore struct {
		grants, puts, renewals int
		err                    error
	}
)

func (s *countingStore) client() Store {
	return Store{
		GrantLease: func(context.Context, time.Duration) (uint64, error) { s.grants++; return 7, s.err },
		Put:        func(context.Context, string, []byte, uint64) error { s.puts++; return s.err },
		RenewLease: func(context.Context, uint64) error { s.renewals++; return s.err },
	}
}

// The store is unavailable for a few renewals, and the lease outlives the outage. If a new entry
// were written after each failure, seventy proxies would make a thousand calls in an outage of a
// few seconds, at ten times the price of a renewal.
func TestFailedRenewalIsRetried(t *testing.T) {
	f := newFleet(t, 1)
	s := &countingStore{}
	k := &registrar{replica: f.newIdleDaemon().replica, store: s.client()}
	ctx := context.Background()
	if !k.ensureRegistered(ctx) {
		t.Fatal("not registered after the first calls")
	}
	s.err = errDisconnected
	for range 3 {
		if k.ensureRegistered(ctx) {
			t.Error("a failed renewal counts as successful")
		}
	}
	s.err = nil
	if !k.ensureRegistered(ctx) {
		t.Error("not registered after the outage")
	}
	if s.grants != 1 || s.puts != 1 || s.renewals != 4 {
		t.Errorf("%d leases, %d entries, %d renewals; want 1, 1, 4", s.grants, s.puts, s.renewals)
	}
}

// The lease expired during a store outage. Only then is a new entry written.
func TestExpiredLeaseIsReplaced(t *testing.T) {
	f := newFleet(t, 1)
	s := &countingStore{}
	k := &registrar{replica: f.newIdleDaemon().replica, store: s.client()}
	ctx := context.Background()
	k.ensureRegistered(ctx)
	s.err = &StoreError{Code: StoreNotFound}
	if k.ensureRegistered(ctx) {
		t.Error("still registered although the lease has expired")
	}
	s.err = nil
	if !k.ensureRegistered(ctx) || s.grants != 2 || s.puts != 2 {
		t.Errorf("%d leases, %d entries; want 2, 2", s.grants, s.puts)
	}
}

// A lease was granted and the response to the write of the entry was lost. The entry must be
// written again under the same lease.
func TestUnacknowledgedEntryIsRewritten(t *testing.T) {
	f := newFleet(t, 1)
	s := &countingStore{}
	client := s.client()
	client.Put = func(context.Context, string, []byte, uint64) error {
		s.puts++
		if s.puts == 1 {
			return errDisconnected
		}
		return nil
	}
	k := &registrar{replica: f.newIdleDaemon().replica, store: client}
	if k.ensureRegistered(context.Background()) || !k.ensureRegistered(context.Background()) {
		t.Error("not registered after the second attempt")
	}
	if s.grants != 1 || s.puts != 2 {
		t.Errorf("%d leases, %d entries; want 1, 2", s.grants, s.puts)
	}
}

// In an outage all proxies query the store in the end. Those that aren't relays must back off
// longer, since the relays tell them of its recovery.
func TestNonRelaysBackOffLongerDuringOutage(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newIdleDaemon()
	w := &storeWatcher{replica: d.replica, onUnchanged: func() {}}
	if got := w.maxBackoff(); got != maxRetryBackoff {
		t.Errorf("backoff of a relay is at most %s, want %s", got, maxRetryBackoff)
	}
	for _, name := range []string{"wide-a", "wide-b"} {
		d.replica.members[name] = proxyEntry{Name: name, Region: "north", LinkMbps: 1000}
	}
	d.replica.members[d.settings.Name] = proxyEntry{Name: d.settings.Name, Region: "north"}
	if d.replica.rank() < replica.RelaysPerRegion {
		t.Fatal("the proxy is a relay despite two others with more bandwidth")
	}
	if got := w.maxBackoff(); got != maxNonRelayBackoff {
		t.Errorf("backoff of another proxy is at most %s, want %s", got, maxNonRelayBackoff)
	}
}

// The platform deletes the entry again and again, and it is rewritten each time. If that delayed
// the renewals, the lease would expire, and with it the entry.
func TestRewritesDoNotDelayRenewals(t *testing.T) {
	f := newFleet(t, 1)
	s := &countingStore{}
	client := s.client()
	var renewals atomic.Int32
	client.RenewLease = func(context.Context, uint64) error { renewals.Add(1); return nil }
	k := &registrar{replica: f.newIdleDaemon().replica, store: client}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { k.run(ctx); close(ended) }()
	defer func() { cancel(); <-ended }()
	f.eventually("the lease is renewed", func() bool { k.replica.requestRewrite(); return renewals.Load() > 0 })
}
