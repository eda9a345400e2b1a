package forwardhttp

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// getWithKey sends a GET request with a key, or without one if key is empty.
func getWithKey(t *testing.T, url, key string) fullResponse {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return fullResponse{status: response.StatusCode, header: response.Header, close: response.Close}
}

// addAccount applies a configuration with one account, whose key is "good".
func (p *testProxy) addAccount(t *testing.T, l ratelimit.Limit) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	key, _ := account.HashKey("good")
	accounts, _ := account.NewTable([]*account.Account{{Name: "anna", Keys: []account.Key{key}, Limit: l}})
	old := p.kernel.Table()
	p.kernel.SetTable(routing.NewTable(old.Version+1, []*routing.Route{old.Routes["route"]}, nil, routing.Limits{}).WithAccounts(accounts))
}

func TestStatusForCredentials(t *testing.T) {
	var seen serverhttp.Request
	p := newTestProxy(t, true, func(_ context.Context, r serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
		seen = r
		return steering.Attempt{Result: steering.ResultResponded}, &serverhttp.Response{Status: http.StatusOK, Body: &bodies.Body{}}
	})
	if got := getWithKey(t, p.URL+"/a/x", "any"); got.status != http.StatusOK || seen.HasAccounts {
		t.Errorf("without accounts: status is %d, has accounts %t, want 200 and false", got.status, seen.HasAccounts)
	}
	p.addAccount(t, ratelimit.Limit{})
	for key, want := range map[string]int{"good": http.StatusOK, "bad": http.StatusUnauthorized, "": http.StatusUnauthorized} {
		got := getWithKey(t, p.URL+"/a/x", key)
		if got.status != want {
			t.Errorf("key %q: status is %d, want %d", key, got.status, want)
		}
		if want == http.StatusUnauthorized && got.header.Get("WWW-Authenticate") != "Bearer" {
			t.Errorf("key %q: the response has no WWW-Authenticate: Bearer", key)
		}
	}
	if !seen.HasAccounts || seen.Account != "anna" {
		t.Errorf("the server receives account %q, has accounts %t; want anna and true", seen.Account, seen.HasAccounts)
	}
	if got := getWithKey(t, p.URL+"/none", "bad"); got.status != http.StatusNotFound {
		t.Errorf("no route: status is %d, want 404", got.status)
	}
}

// Guards against a proxy that has just started and rejects a valid key with 401, which callers do
// not retry.
func TestNoUnauthorizedWithoutConfiguration(t *testing.T) {
	p := newTestProxy(t, false, nil)
	if got := getWithKey(t, p.URL+"/a/x", "good"); got.status != http.StatusServiceUnavailable {
		t.Errorf("status is %d, want 503", got.status)
	}
}

// Guards against a request over the rate limit that waits, is rejected without Retry-After, or
// whose caller keeps its connection to a proxy that has no share of the limit.
func TestRequestsOverLimitAreRejectedImmediately(t *testing.T) {
	p := newTestProxy(t, true, nil)
	p.addAccount(t, ratelimit.Limit{PerSecond: 1})
	began := time.Now()
	got := getWithKey(t, p.URL+"/a/x", "good")
	if got.status != http.StatusTooManyRequests || got.header.Get("Retry-After") == "" {
		t.Errorf("status is %d, Retry-After is %q, want 429 and a time", got.status, got.header.Get("Retry-After"))
	}
	if !got.close {
		t.Error("the connection to a proxy that reaches no pool stays open, want it closed")
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("rejected after %s, want immediately", took)
	}
}
