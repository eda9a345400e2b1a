package serverhttp

import (
	"net/http"
	"testing"
	"time"
)

// Guards against keys that reach servers, and against names of accounts that callers wrote
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
				t.Error("without client accounts the field is not the system's, and is passed on")
			}
			continue
		}
		if got.Get("Authorization") != "" {
			t.Error("the key is passed on")
		}
		names := 0
		for field, values := range got {
			if field == name || field == "X_account-of_caller" || field == "x-ACCOUNT-of-caller" {
				names += len(values)
			}
		}
		if got.Get(name) != want || names > 1 || names == 1 && want == "" {
			t.Errorf("servers see %q in %d fields, want %q", got.Get(name), names, want)
		}
	}
}
