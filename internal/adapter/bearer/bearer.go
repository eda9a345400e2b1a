// Package bearer reads API keys from header fields, as RFC 6750 has them.
package bearer

import (
	"net/http"
	"strings"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
)

const (
	// Header is the header field that carries a key.
	Header = "Authorization"
	// Scheme is the authentication scheme, in any case.
	Scheme = "Bearer"
)

// ParseCredential reads the key that a request carries. Several fields, or one of another
// form, are no key: two readers might take different parts of it.
func ParseCredential(h http.Header) account.Credential {
	fields := h[Header]
	if len(fields) == 0 {
		return account.Credential{State: account.Absent}
	}
	scheme, text, _ := strings.Cut(strings.TrimSpace(fields[0]), " ")
	text = strings.TrimLeft(text, " ")
	if len(fields) > 1 || !strings.EqualFold(scheme, Scheme) || !isToken(text) {
		return account.Credential{State: account.Malformed}
	}
	key, ok := account.KeyOf(text)
	if !ok {
		return account.Credential{State: account.Malformed}
	}
	return account.Credential{State: account.Present, Key: key}
}

// isToken reports whether a text is one word of visible characters.
func isToken(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return text != ""
}

// SameHeader reports whether two names of header fields may be taken for the same one: some
// servers read a low line as a hyphen.
func SameHeader(a, b string) bool {
	return strings.EqualFold(strings.ReplaceAll(a, "_", "-"), strings.ReplaceAll(b, "_", "-"))
}
