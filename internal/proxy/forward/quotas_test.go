package forward

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
)

// getWithKey sends a request with an API key to a proxy and returns the status.
func (f *fleet) getWithKey(i int, key string) int {
	r, err := http.NewRequest(http.MethodGet, "http://"+f.daemons[i].settings.Listen.Callers.String()+"/b/x", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// Guards against proxies that each apply a whole limit, and against a limit that none of them may
// use.
func TestProxiesShareRateLimit(t *testing.T) {
	const proxies, perSecond, span = 3, 100.0, 3 * time.Second
	f := newFleet(t, proxies)
	f.store.write("config", testTable{Version: 2, Service: "service", Key: "good", PerSecond: perSecond})
	for i := range proxies {
		f.eventually("the account is served", func() bool { return f.version(i) == 2 && f.getWithKey(i, "good") == http.StatusOK })
	}
	var served, rejected atomic.Int64
	var callers sync.WaitGroup
	start := time.Now()
	for i := range proxies {
		callers.Go(func() {
			for time.Since(start) < span {
				switch f.getWithKey(i, "good") {
				case http.StatusOK:
					served.Add(1)
				case http.StatusTooManyRequests:
					rejected.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	if limit := perSecond*time.Since(start).Seconds() + 2; float64(served.Load()) > limit {
		t.Errorf("%d requests served in %s, want at most %.0f", served.Load(), time.Since(start), limit)
	}
	if served.Load() == 0 || rejected.Load() == 0 {
		t.Errorf("%d requests served and %d rejected, want some of both", served.Load(), rejected.Load())
	}
}

// Guards against revoked keys that still open routes.
func TestRevokedKeyIsRejected(t *testing.T) {
	f := newFleet(t, 2)
	f.store.write("config", testTable{Version: 2, Service: "service", Key: "old"})
	for i := range 2 {
		f.eventually("the key is accepted", func() bool { return f.version(i) == 2 && f.getWithKey(i, "old") == http.StatusOK })
	}
	f.store.write("config", testTable{Version: 3, Service: "service", Key: "new"})
	for i := range 2 {
		f.eventually("the new key is accepted", func() bool { return f.version(i) == 3 && f.getWithKey(i, "new") == http.StatusOK })
		if got := f.getWithKey(i, "old"); got != http.StatusUnauthorized {
			t.Errorf("status with the old key is %d, want 401", got)
		}
	}
}

// Guards against a division of limits by an invalid number of proxies that another program wrote.
func TestStoredFleetSizeIsValidated(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newIdleDaemon()
	for text, want := range map[string]int{`{"proxies":7}`: 7, `{"proxies":0}`: 0, `{"proxies":-1}`: 0, `{"proxies":"7"}`: 0, `{`: 0, ``: 0} {
		d.quotas.storedFleetSize = 0
		d.quotas.handleStoredFleetSize(replica.Entry{Key: fleetSizeKey, Value: []byte(text)})
		if got := d.quotas.storedFleetSize; got != want {
			t.Errorf("fleet size from %q is %d, want %d", text, got, want)
		}
	}
}

// Guards against shares that outlast their lease because the VM was suspended, and against jumps of
// the wall clock that are mistaken for a suspension.
func TestSuspendDetector(t *testing.T) {
	var s suspendDetector
	now := time.Now()
	if s.checkResumed(now) {
		t.Error("suspension detected at the first check, want none")
	}
	if s.checkResumed(now.Add(time.Second)) {
		t.Error("suspension detected after an ordinary second, want none")
	}
	s.wallOffset -= time.Minute
	if s.checkResumed(now.Add(time.Second)) {
		t.Error("suspension detected after a jump of the wall clock alone, want none")
	}
	s.wallOffset -= time.Minute
	s.suspended -= time.Minute
	if !s.checkResumed(now.Add(time.Second)) {
		t.Error("no suspension detected after a minute that only the wall clock and the boot clock counted")
	}
}

// Guards against one pool that serves a hundred proxies, and against groups so small that each
// group's share of a limit admits nothing.
func TestLargeRegionHasPoolPerFailureDomain(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newIdleDaemon()
	d.settings.RegionOf = map[string]string{"a": "north", "b": "north", "c": "south"}
	add := func(domain, region string, count int) {
		for i := range count {
			name := fmt.Sprintf("%s-%d", domain, i)
			d.replica.members[name] = proxyEntry{Name: name, Domain: domain, Region: region, Peers: freePort(t)}
		}
		d.replica.membershipChanges++
	}
	add("a", "north", maxGroupSize/2)
	add("b", "north", maxGroupSize/2)
	add("c", "south", 3)
	if own, others := d.quotas.choosePools(); own == "" || len(others) != 1 || len(d.quotas.poolGroups) != 2 {
		t.Errorf("pools are %q and %q of %d groups, want one for each region", own, others, len(d.quotas.poolGroups))
	}
	add("a", "north", maxGroupSize/2+1)
	own, others := d.quotas.choosePools()
	if !strings.HasPrefix(own, "a-") || len(others) != 2 || !strings.HasPrefix(others[0], "b-") {
		t.Errorf("pools are %q and %q, want that of the own failure domain, and the local one before the remote one", own, others)
	}
}

// Guards against proxies of a busy fleet that switch between pools and lose their shares at each
// change.
func TestPoolIsKeptAfterLostReports(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newIdleDaemon()
	for _, name := range []string{"first", "second"} {
		d.replica.members[name] = proxyEntry{Name: name, Domain: "a", Region: "north", Peers: freePort(t)}
	}
	d.replica.membershipChanges++
	first, _ := d.quotas.choosePools()
	for range maxUnansweredReports - 1 {
		d.quotas.recordPoolResult(first, context.DeadlineExceeded)
	}
	if got, _ := d.quotas.choosePools(); got != first {
		t.Errorf("the pool is %s after %d unanswered reports, want still %s", got, maxUnansweredReports-1, first)
	}
	d.quotas.recordPoolResult(first, context.DeadlineExceeded)
	if got, _ := d.quotas.choosePools(); got == first {
		t.Errorf("the pool is still %s after %d unanswered reports", got, maxUnansweredReports)
	}
	second, _ := d.quotas.choosePools()
	d.quotas.recordPoolResult(second, syscall.ECONNREFUSED)
	if got, _ := d.quotas.choosePools(); got == second {
		t.Error("a pool that refuses connections is kept")
	}
}
