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

// getWithKey asks a proxy with a key.
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

// Guards against a limit that each proxy takes for its own, and against one that none of
// them may use.
func TestProxiesShareRateLimit(t *testing.T) {
	const proxies, perSecond, span = 3, 100.0, 3 * time.Second
	f := newFleet(t, proxies)
	f.store.write("config", testTable{Version: 2, Service: "service", Key: "good", PerSecond: perSecond})
	for i := range proxies {
		f.eventually("the account is served", func() bool { return f.version(i) == 2 && f.getWithKey(i, "good") == http.StatusOK })
	}
	var served, refused atomic.Int64
	var callers sync.WaitGroup
	began := time.Now()
	for i := range proxies {
		callers.Go(func() {
			for time.Since(began) < span {
				switch f.getWithKey(i, "good") {
				case http.StatusOK:
					served.Add(1)
				case http.StatusTooManyRequests:
					refused.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	if most := perSecond*time.Since(began).Seconds() + 2; float64(served.Load()) > most {
		t.Errorf("%d served in %s, want at most %.0f", served.Load(), time.Since(began), most)
	}
	if served.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d served and %d refused, want some of both", served.Load(), refused.Load())
	}
}

// Guards against keys that go on opening routes after they were taken away.
func TestRevokedKeyIsRejected(t *testing.T) {
	f := newFleet(t, 2)
	f.store.write("config", testTable{Version: 2, Service: "service", Key: "old"})
	for i := range 2 {
		f.eventually("the key opens", func() bool { return f.version(i) == 2 && f.getWithKey(i, "old") == http.StatusOK })
	}
	f.store.write("config", testTable{Version: 3, Service: "service", Key: "new"})
	for i := range 2 {
		f.eventually("the new key opens", func() bool { return f.version(i) == 3 && f.getWithKey(i, "new") == http.StatusOK })
		if got := f.getWithKey(i, "old"); got != http.StatusUnauthorized {
			t.Errorf("the old key: status is %d, want 401", got)
		}
	}
}

// Guards against a number of proxies that another program wrote and that divides by nothing.
func TestStoredFleetSizeIsValidated(t *testing.T) {
	f := newFleet(t, 1)
	d := f.newIdleDaemon()
	for text, want := range map[string]int{`{"proxies":7}`: 7, `{"proxies":0}`: 0, `{"proxies":-1}`: 0, `{"proxies":"7"}`: 0, `{`: 0, ``: 0} {
		d.quotas.storedFleetSize = 0
		d.quotas.handleStoredFleetSize(replica.Entry{Key: fleetSizeKey, Value: []byte(text)})
		if got := d.quotas.storedFleetSize; got != want {
			t.Errorf("%q is taken for %d proxies, want %d", text, got, want)
		}
	}
}

// Guards against shares that seem to last after the VM was suspended, and against steps of
// the time of day that pass for a suspension.
func TestSuspendDetector(t *testing.T) {
	var s suspendDetector
	now := time.Now()
	if s.checkResumed(now) {
		t.Error("the first look tells of a suspension, want none")
	}
	if s.checkResumed(now.Add(time.Second)) {
		t.Error("a second that passes tells of a suspension, want none")
	}
	s.wallOffset -= time.Minute
	if s.checkResumed(now.Add(time.Second)) {
		t.Error("a step of the time of day tells of a suspension, want none")
	}
	s.wallOffset -= time.Minute
	s.suspended -= time.Minute
	if !s.checkResumed(now.Add(time.Second)) {
		t.Error("a minute that only the time of day and the boot clock know tells of no suspension")
	}
}

// Guards against one proxy that answers the reports of a hundred, and against groups so small
// that each has a part of a limit that lets nothing through.
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
		t.Errorf("pools are %q and %q of %d groups, want one of each region", own, others, len(d.quotas.poolGroups))
	}
	add("a", "north", maxGroupSize/2+1)
	own, others := d.quotas.choosePools()
	if !strings.HasPrefix(own, "a-") || len(others) != 2 || !strings.HasPrefix(others[0], "b-") {
		t.Errorf("pools are %q and %q, want the own failure domain's, and the near one before the far one", own, others)
	}
}

// Guards against proxies of a busy fleet that go from pool to pool, and lose their parts at
// each change.
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
		t.Errorf("the pool is %s after %d reports without answer, want %s still", got, maxUnansweredReports-1, first)
	}
	d.quotas.recordPoolResult(first, context.DeadlineExceeded)
	if got, _ := d.quotas.choosePools(); got == first {
		t.Errorf("the pool is still %s after %d reports without answer", got, maxUnansweredReports)
	}
	second, _ := d.quotas.choosePools()
	d.quotas.recordPoolResult(second, syscall.ECONNREFUSED)
	if got, _ := d.quotas.choosePools(); got == second {
		t.Error("a pool at whose address nothing listens is kept")
	}
}
