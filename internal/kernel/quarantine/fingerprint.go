package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/go-faster/errors"
)

const (
	// fingerprintBytes is the length of the truncated SHA-256 digest: long enough that nobody can
	// construct a request with the fingerprint of another one.
	fingerprintBytes = 16
)

type (
	// Fingerprint identifies requests that have a server do the same work: requests with the same
	// method, host, path, query, client account and body have the same fingerprint, whoever sends
	// them and however often.
	Fingerprint [fingerprintBytes]byte
)

// NewFingerprint returns the fingerprint of a request. target is the path with the query.
func NewFingerprint(method, host, target, account string, body ...[]byte) Fingerprint {
	digest := sha256.New()
	for _, field := range []string{method, host, target, account} {
		// The length prefix prevents ambiguity when bytes move from one field to the next.
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(field))))
		_, _ = digest.Write([]byte(field))
	}
	for _, piece := range body {
		_, _ = digest.Write(piece)
	}
	return Fingerprint(digest.Sum(nil)[:fingerprintBytes])
}

// IsEmpty reports whether the fingerprint of a request is unknown.
func (f Fingerprint) IsEmpty() bool { return f == Fingerprint{} }

// String returns the fingerprint in hexadecimal digits, as it is shown to operators.
func (f Fingerprint) String() string {
	if f.IsEmpty() {
		return ""
	}
	return hex.EncodeToString(f[:])
}

// MarshalText encodes the fingerprint in hexadecimal digits.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText decodes a fingerprint from hexadecimal digits. Empty text is the empty fingerprint.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	*f = Fingerprint{}
	if len(text) == 0 {
		return nil
	}
	if hex.DecodedLen(len(text)) != fingerprintBytes {
		return errors.Errorf("request fingerprint %q: must have %d hexadecimal digits", text, 2*fingerprintBytes)
	}
	if _, err := hex.Decode(f[:], text); err != nil {
		return errors.Wrapf(err, "request fingerprint %q", text)
	}
	return nil
}
