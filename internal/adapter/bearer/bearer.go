// Package bearer reads API keys from the Authorization header as bearer tokens (RFC 6750).
package bearer

import (
	"net/http"
	"strings"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
)

const (
	// Header is the header field that contains the key.
	Header = "Authorization"
	// Scheme is the authentication scheme; it is case-insensitive.
	Scheme = "Bearer"
)

// ParseCredential returns the key of a request. Several header fields, or a field in another
// format, are malformed: two parsers might read different keys from them.
func ParseCredential(h http.Header) account.Credential {
	fields := h[Header]
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

// isToken reports whether text is a single word of printable ASCII characters.
func isToken(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return text != ""
}

// SameHeader reports whether two names may denote the same header field: some servers treat an
// underscore as a hyphen.
func SameHeader(a, b string) bool {
	return strings.EqualFold(strings.ReplaceAll(a, "_", "-"), strings.ReplaceAll(b, "_", "-"))
}
