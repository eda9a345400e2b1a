// Package bearer reads API keys from header fields, as RFC 6750 has them.
package bearer

import (
	"net/http"
	"strings"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
)

const (
	// Field is the header field that carries a key.
	Field = "Authorization"
	// Scheme is the authentication scheme, in any case.
	Scheme = "Bearer"
)

// CredentialOf reads the key that a request carries. Several fields, or one of another
// form, are no key: two readers might take different parts of it.
func CredentialOf(h http.Header) account.Credential {
	fields := h[Field]
	if len(fields) == 0 {
		return account.Credential{State: account.CredentialAbsent}
	}
	scheme, text, _ := strings.Cut(strings.TrimSpace(fields[0]), " ")
	text = strings.TrimLeft(text, " ")
	if len(fields) > 1 || !strings.EqualFold(scheme, Scheme) || !isToken(text) {
		return account.Credential{State: account.CredentialMalformed}
	}
	key, ok := account.HashKey(text)
	if !ok {
		return account.Credential{State: account.CredentialMalformed}
	}
	return account.Credential{State: account.CredentialPresent, Key: key}
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

// Same reports whether two names of header fields may be taken for the same one: some
// servers read a low line as a hyphen.
func Same(a, b string) bool {
	return strings.EqualFold(strings.ReplaceAll(a, "_", "-"), strings.ReplaceAll(b, "_", "-"))
}
