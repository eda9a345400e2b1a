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

// getWithKey asks with a key, or without if it is empty.
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

// addAccount brings a configuration into force in which one account holds the key "good".
func (f *testProxy) addAccount(t *testing.T, l ratelimit.Limit) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	key, _ := account.KeyOf("good")
	accounts, _ := account.NewTable([]*account.Account{{Name: "anna", Keys: []account.Key{key}, Limit: l}})
	old := f.kernel.Table()
	f.kernel.SetTable(routing.NewTable(old.Version+1, []*routing.Route{old.Routes["route"]}, nil, routing.Limits{}).WithAccounts(accounts))
}

func TestStatusForCredentials(t *testing.T) {
	var seen serverhttp.Request
	f := newTestProxy(t, true, func(_ context.Context, r serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
		seen = r
		return steering.Attempt{Result: steering.ResultAnswered}, &serverhttp.Response{Status: http.StatusOK, Body: &bodies.Body{}}
	})
	if got := getWithKey(t, f.URL+"/a/x", "any"); got.status != http.StatusOK || seen.HasAccounts {
		t.Errorf("without accounts: status is %d, keyed %t, want 200 and no key taken", got.status, seen.HasAccounts)
	}
	f.addAccount(t, ratelimit.Limit{})
	for key, want := range map[string]int{"good": http.StatusOK, "bad": http.StatusUnauthorized, "": http.StatusUnauthorized} {
		got := getWithKey(t, f.URL+"/a/x", key)
		if got.status != want {
			t.Errorf("key %q: status is %d, want %d", key, got.status, want)
		}
		if want == http.StatusUnauthorized && got.header.Get("WWW-Authenticate") != "Bearer" {
			t.Errorf("key %q: the answer does not say what is wanted", key)
		}
	}
	if !seen.HasAccounts || seen.Account != "anna" {
		t.Errorf("the server sees account %q, keyed %t; want anna and true", seen.Account, seen.HasAccounts)
	}
	if got := getWithKey(t, f.URL+"/none", "bad"); got.status != http.StatusNotFound {
		t.Errorf("no route: status is %d, want 404", got.status)
	}
}

// Guards against a proxy that has just started and says for good that a key is unknown.
func TestNoUnauthorizedWithoutConfiguration(t *testing.T) {
	f := newTestProxy(t, false, nil)
	if got := getWithKey(t, f.URL+"/a/x", "good"); got.status != http.StatusServiceUnavailable {
		t.Errorf("status is %d, want 503", got.status)
	}
}

// Guards against a request beyond the limit that waits, or whose caller is not told when to
// come back, or stays at a proxy that has no share of the limit.
func TestRequestsOverLimitAreRejectedImmediately(t *testing.T) {
	f := newTestProxy(t, true, nil)
	f.addAccount(t, ratelimit.Limit{PerSecond: 1})
	began := time.Now()
	got := getWithKey(t, f.URL+"/a/x", "good")
	if got.status != http.StatusTooManyRequests || got.header.Get("Retry-After") == "" {
		t.Errorf("status is %d, come back after %q, want 429 and a time", got.status, got.header.Get("Retry-After"))
	}
	if !got.close {
		t.Error("the connection stays open at a proxy that reaches no pool of limits, want it closed")
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused after %s, want at once", took)
	}
}
