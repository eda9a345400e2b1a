package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/go-faster/errors"
)

const (
	// workBytes are those of a digest that name a work: enough that nobody can make a
	// request that passes for another's.
	workBytes = 16
)

type (
	// Fingerprint names what a server does for a request: two requests with the same method,
	// host, path, query, client account and body are the same work, whoever sends them
	// and however often.
	Fingerprint [workBytes]byte
)

// NewFingerprint names the work of a request. target is the path with the query.
func NewFingerprint(method, host, target, account string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, field := range []string{method, host, target, account} {
		// The length before each field keeps two fields from passing for one.
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(field))))
		_, _ = digest.Write([]byte(field))
	}
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum(nil)[:workBytes])
}

// IsEmpty reports whether the work of a request is not known.
func (w Fingerprint) IsEmpty() bool { return w == Fingerprint{} }

// String is the name as operators see it, in hexadecimal digits.
func (w Fingerprint) String() string {
	if w.IsEmpty() {
		return ""
	}
	return hex.EncodeToString(w[:])
}

// MarshalText writes the name.
func (w Fingerprint) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText reads a name.
func (w *Fingerprint) UnmarshalText(text []byte) error {
	*w = Fingerprint{}
	if len(text) == 0 {
		return nil
	}
	if hex.DecodedLen(len(text)) != workBytes {
		return errors.Errorf("work %q: must have %d hexadecimal digits", text, 2*workBytes)
	}
	if _, err := hex.Decode(w[:], text); err != nil {
		return errors.Wrapf(err, "work %q", text)
	}
	return nil
}
