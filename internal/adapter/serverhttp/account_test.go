package serverhttp

import (
	"net/http"
	"testing"
	"time"
)

// Guards against keys that are forwarded to servers, and against account names that callers set
// themselves.
func TestServersSeeAccountNameAndNotKey(t *testing.T) {
	const name = "X-Account-Of-Caller"
	h := testHeaders
	h.Account = name
	c := &Client{headers: h, now: time.Now}
	given := http.Header{
		"Authorization": {"Bearer secret"}, name: {"other", "another"}, "X_account-of_caller": {"other"}, "x-ACCOUNT-of-caller": {"other"},
		"Connection": {name},
	}
	for want, keyed := range map[string]bool{"anna": true, "": true, "unkeyed": false} {
		r := Request{Header: given.Clone(), HasAccounts: keyed, Account: want, Host: "example", Target: "/"}
		got := c.newMessage(r).Header
		if !keyed {
			if got.Get("Authorization") == "" {
				t.Error("the Authorization header is not forwarded although there are no client accounts")
			}
			continue
		}
		if got.Get("Authorization") != "" {
			t.Error("the key is forwarded")
		}
		names := 0
		for field, values := range got {
			if field == name || field == "X_account-of_caller" || field == "x-ACCOUNT-of-caller" {
				names += len(values)
			}
		}
		if got.Get(name) != want || names > 1 || names == 1 && want == "" {
			t.Errorf("servers receive %q in %d fields, want %q", got.Get(name), names, want)
		}
	}
}
