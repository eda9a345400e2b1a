package account

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"
)

const (
	// digestBytes is the length of the SHA-256 prefix that identifies a key. It is long enough that
	// finding another text with the same digest is infeasible.
	digestBytes = 16
	// fingerprintBytes is the length of the digest prefix that operators see.
	fingerprintBytes = 4
	// maxKeyBytes is the maximum length of an API key.
	maxKeyBytes = 512
)

const (
	// CredentialAbsent means that a request carries no API key.
	CredentialAbsent CredentialState = iota
	// CredentialMalformed means that the authorization of a request is not a single valid API key.
	CredentialMalformed
	// CredentialPresent means that a request carries one API key, which may be of no account.
	CredentialPresent
)

type (
	// Key is the digest of an API key. The text of the key itself is never retained: neither in
	// memory that a snapshot exposes, nor in logs, recordings or messages.
	Key [digestBytes]byte

	// CredentialState says whether a request carries an API key.
	CredentialState uint8

	// Credential is what a request carries to authenticate its account.
	Credential struct {
		State CredentialState
		Key   Key
	}
)

// HashKey returns the digest of an API key, or false if the text is empty or too long for a key.
func HashKey(text string) (Key, bool) {
	if text == "" || len(text) > maxKeyBytes {
		return Key{}, false
	}
	digest := sha256.Sum256([]byte(text))
	return Key(digest[:digestBytes]), true
}

// Fingerprint identifies the key to operators without disclosing its text.
func (k Key) Fingerprint() string { return hex.EncodeToString(k[:fingerprintBytes]) }

// String returns the fingerprint.
func (k Key) String() string { return k.Fingerprint() }

// MarshalText returns the fingerprint, which is enough to replay a recording.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.Fingerprint()), nil }

// UnmarshalText decodes a fingerprint. The rest of the digest is zero.
func (k *Key) UnmarshalText(text []byte) error {
	*k = Key{}
	if hex.DecodedLen(len(text)) != fingerprintBytes {
		return errors.Errorf("key fingerprint must have %d hexadecimal digits, has %d", 2*fingerprintBytes, len(text))
	}
	if _, err := hex.Decode(k[:fingerprintBytes], text); err != nil {
		return errors.Wrap(err, "decode key fingerprint")
	}
	return nil
}
