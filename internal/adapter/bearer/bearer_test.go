package bearer

import (
	"net/http"
	"strings"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
)

func TestParseCredential(t *testing.T) {
	for _, c := range []struct {
		fields []string
		want   account.CredentialState
	}{
		{nil, account.CredentialAbsent},
		{[]string{"Bearer abc"}, account.CredentialPresent},
		{[]string{"bearer abc"}, account.CredentialPresent},
		{[]string{"BEARER   abc "}, account.CredentialPresent},
		{[]string{"Bearer"}, account.CredentialMalformed},
		{[]string{"Bearer "}, account.CredentialMalformed},
		{[]string{""}, account.CredentialMalformed},
		{[]string{"Basic abc"}, account.CredentialMalformed},
		{[]string{"abc"}, account.CredentialMalformed},
		{[]string{"Bearer abc def"}, account.CredentialMalformed},
		{[]string{"Bearer abc\tdef"}, account.CredentialMalformed},
		{[]string{"Bearer ab\u00e7"}, account.CredentialMalformed},
		{[]string{"Bearer abc", "Bearer abc"}, account.CredentialMalformed},
		{[]string{"Bearer " + strings.Repeat("x", 10_000)}, account.CredentialMalformed},
	} {
		got := ParseCredential(http.Header{Header: c.fields})
		if got.State != c.want {
			t.Errorf("%q: state is %d, want %d", c.fields, got.State, c.want)
		}
		if want, _ := account.HashKey("abc"); c.want == account.CredentialPresent && got.Key != want {
			t.Errorf("%q: key is %s, want that of abc", c.fields, got.Key)
		}
	}
}

// FuzzParseCredential looks for header values that are accepted as a key although they are not the
// scheme and a single word.
func FuzzParseCredential(f *testing.F) {
	f.Add("Bearer abc", "")
	f.Add("Bearer  abc", "Bearer def")
	f.Fuzz(func(t *testing.T, one, two string) {
		h := http.Header{Header: {one}}
		if two != "" {
			h.Add(Header, two)
		}
		got := ParseCredential(h)
		words := strings.Fields(one)
		proper := two == "" && len(words) == 2 && strings.EqualFold(words[0], Scheme)
		if got.State == account.CredentialPresent && !proper {
			t.Errorf("%q and %q are accepted as a key", one, two)
		}
		if got.State != account.CredentialPresent && got.Key != (account.Key{}) {
			t.Errorf("%q and %q: state %d with a key", one, two, got.State)
		}
	})
}

func TestSameHeader(t *testing.T) {
	for name, want := range map[string]bool{"X-Account": true, "x-account": true, "X_Account": true, "x_ACCOUNT": true, "X-Accounts": false, "XAccount": false} {
		if got := SameHeader("X-Account", name); got != want {
			t.Errorf("X-Account and %s are the same header: %t, want %t", name, got, want)
		}
	}
}
