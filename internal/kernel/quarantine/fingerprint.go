package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/go-faster/errors"
)

const (
	// fingerprintBytes are those of a digest that name a work: enough that nobody can make a
	// request that passes for another's.
	fingerprintBytes = 16
)

type (
	// Fingerprint names what a server does for a request: two requests with the same method,
	// host, path, query, client account and body are the same work, whoever sends them
	// and however often.
	Fingerprint [fingerprintBytes]byte
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
	return Fingerprint(digest.Sum(nil)[:fingerprintBytes])
}

// IsEmpty reports whether the work of a request is not known.
func (f Fingerprint) IsEmpty() bool { return f == Fingerprint{} }

// String is the name as operators see it, in hexadecimal digits.
func (f Fingerprint) String() string {
	if f.IsEmpty() {
		return ""
	}
	return hex.EncodeToString(f[:])
}

// MarshalText writes the name.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads a name.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	*f = Fingerprint{}
	if len(text) == 0 {
		return nil
	}
	if hex.DecodedLen(len(text)) != fingerprintBytes {
		return errors.Errorf("work %q: must have %d hexadecimal digits", text, 2*fingerprintBytes)
	}
	if _, err := hex.Decode(f[:], text); err != nil {
		return errors.Wrapf(err, "work %q", text)
	}
	return nil
}
