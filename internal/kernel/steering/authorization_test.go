package steering

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	testAccountKey = "a-key-that-nobody-may-see"
)

// kernelWithAccount returns the kernel of the only proxy of a fleet, with one client account and
// one server, and a time at which its startup grace period is over.
func kernelWithAccount(t *testing.T, acct account.Account, config Config) (*Kernel, time.Time) {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	config.Name, config.Domain, config.Region, config.RegionOf = "proxy", "north-a", "north", regionOf
	config.Joined = now.Add(-time.Minute)
	k := New(config)
	acct.Name, acct.Keys = "anna", []account.Key{accountKey(t, testAccountKey)}
	accounts, _ := account.NewTable([]*account.Account{&acct})
	k.SetTable(routing.NewTable(1, []*routing.Route{{
		Name: "route", Host: "host", Prefix: "/", Idempotent: true, Attempts: 2, Timeout: 2 * time.Second, Target: time.Second, Priority: 2,
		Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}}, nil, routing.Limits{}).WithAccounts(accounts))
	k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 1000})
	k.SetFleetSize(1)
	k.Tick(now)
	return k, now.Add(10 * time.Second)
}

func beginWithKey(t *testing.T, k *Kernel, now time.Time) (*ActiveRequest, Decision) {
	t.Helper()
	return k.BeginRequest(now, Request{ID: "r", Host: "host", Path: "/x", Credential: account.Credential{State: account.CredentialPresent, Key: accountKey(t, testAccountKey)}})
}

// Guards against a proxy that the store turns away from its start on, and that uses a share of a limit which the
// other proxies divide among themselves without it.
func TestProxyThatWasNeverListedHasNoShareOfLimit(t *testing.T) {
	k, now := kernelWithAccount(t, account.Account{Limit: ratelimit.Limit{PerSecond: 100, Burst: 100}}, Config{})
	k.ConfirmListing(now, now, false)
	k.SetFleetSize(1)
	if _, d := beginWithKey(t, k, now); d.Server != nil {
		t.Errorf("got a request at a server from a proxy that no other counts, want no share of the limit")
	}
	k.ConfirmListing(now, now, true)
	beginWithKey(t, k, now)
	now = now.Add(time.Second)
	req, d := beginWithKey(t, k, now)
	if d.Server == nil {
		t.Fatalf("got %+v from a listed proxy, want the request at a server", d)
	}
	k.EndAttempt(now, req, Attempt{Result: ResultResponded})
	k.ConfirmListing(now, now, false)
	if _, d := beginWithKey(t, k, now); d.Server == nil {
		t.Errorf("got %+v right after the entry has expired, want the share that the others still count", d)
	}
}

// Guards against a client account that exceeds its rate limit and against one that is rejected
// below it.
func TestAccountRateLimitIsEnforced(t *testing.T) {
	const rate, seconds = 100, 10
	k, now := kernelWithAccount(t, account.Account{Limit: ratelimit.Limit{PerSecond: rate, Burst: rate}}, Config{})
	admitted, rejected := 0, 0
	for range 3 * rate * seconds {
		now = now.Add(time.Second / (3 * rate))
		req, d := beginWithKey(t, k, now)
		switch {
		case d.Server != nil:
			admitted++
			k.EndAttempt(now, req, Attempt{Result: ResultResponded})
		case d.Reason == ReasonRateLimit && d.NotRun && d.RetryAfter > 0:
			rejected++
		default:
			t.Fatalf("decision is %+v, want a server or a rejection by the rate limit", d)
		}
	}
	if minAdmitted, maxAdmitted := rate*seconds*95/100, rate*(seconds+1); admitted < minAdmitted || admitted > maxAdmitted {
		t.Errorf("%d of %d admitted in %d s, want %d to %d", admitted, admitted+rejected, seconds, minAdmitted, maxAdmitted)
	}
}

// Guards against rate limit tokens used up by requests that were rejected without being sent.
func TestUnsentRequestsUseNoTokens(t *testing.T) {
	k, now := kernelWithAccount(t, account.Account{Limit: ratelimit.Limit{PerSecond: 1, Burst: 2}}, Config{})
	k.RemoveServer(now, "s")
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		if _, d := beginWithKey(t, k, now); d.Reason != ReasonNoServer {
			t.Fatalf("rejected for %q, want %q", d.Reason, ReasonNoServer)
		}
	}
}

// Guards against account keys in recordings and events, which operators pass on to others.
func TestAccountKeysAreNotInRecordingsOrEvents(t *testing.T) {
	var output bytes.Buffer
	encoder := json.NewEncoder(&output)
	config := Config{
		Record:  func(c Call) { _ = encoder.Encode(c) },
		Observe: func(e Event) { _ = encoder.Encode(e) },
	}
	k, now := kernelWithAccount(t, account.Account{}, config)
	req, _ := beginWithKey(t, k, now)
	k.EndAttempt(now, req, Attempt{Result: ResultResponded})
	if text := output.String(); strings.Contains(text, testAccountKey) || !strings.Contains(text, accountKey(t, testAccountKey).Fingerprint()) {
		t.Errorf("recorded calls and events contain the key or lack its fingerprint: %s", text)
	}
}

// Guards against rejecting the requests of a client account with an urgent priority as often as all
// others.
func TestAccountPriorityOverridesRoutePriority(t *testing.T) {
	urgent := 0
	k, now := kernelWithAccount(t, account.Account{Priority: &urgent}, Config{})
	req, _ := beginWithKey(t, k, now)
	if got := req.priority(); got != urgent {
		t.Errorf("priority is %d, want the account's %d", got, urgent)
	}
	if got := k.lowestPriority["service"]; got != urgent {
		t.Errorf("the least urgent requests have priority %d, want %d: all belong to the account", got, urgent)
	}
	k, now = kernelWithAccount(t, account.Account{}, Config{})
	req, _ = beginWithKey(t, k, now)
	if got, want := req.priority(), 2; got != want {
		t.Errorf("priority is %d, want the route's %d", got, want)
	}
}
