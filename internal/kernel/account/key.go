package account

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/go-faster/errors"
)

const (
	// digestBytes are those of a key's digest that tell keys apart: enough that nobody
	// can make another text with the same digest.
	digestBytes = 16
	// fingerprintBytes are those that operators see.
	fingerprintBytes = 4
	// maxKeyBytes is the longest text, in bytes, that is taken for a key.
	maxKeyBytes = 512
)

const (
	// CredentialAbsent means that a request carries no key.
	CredentialAbsent CredentialState = iota
	// CredentialMalformed means that what stands where the key should is none, or is several.
	CredentialMalformed
	// CredentialPresent means that a request carries one key, of an account or of nobody.
	CredentialPresent
)

type (
	// Key stands for the text of an API key, which is kept nowhere: not in memory that a
	// snapshot shows, nor in logs, recordings or messages.
	Key [digestBytes]byte

	// CredentialState says what a request carries in the place of its key.
	CredentialState uint8

	// Credential is what a request carries to show whose it is.
	Credential struct {
		State CredentialState
		Key   Key
	}
)

// HashKey is the key of a text, or false if the text can be none.
func HashKey(text string) (Key, bool) {
	if text == "" || len(text) > maxKeyBytes {
		return Key{}, false
	}
	digest := sha256.Sum256([]byte(text))
	return Key(digest[:digestBytes]), true
}

// Fingerprint tells keys apart for operators, and says nothing of their texts.
func (k Key) Fingerprint() string { return hex.EncodeToString(k[:fingerprintBytes]) }

// String is the fingerprint.
func (k Key) String() string { return k.Fingerprint() }

// MarshalText writes the fingerprint, which is enough to replay a recording.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.Fingerprint()), nil }

// UnmarshalText reads a fingerprint.
func (k *Key) UnmarshalText(text []byte) error {
	*k = Key{}
	if hex.DecodedLen(len(text)) != fingerprintBytes {
		return errors.Errorf("fingerprint of a key: must have %d hexadecimal digits, has %d", 2*fingerprintBytes, len(text))
	}
	if _, err := hex.Decode(k[:fingerprintBytes], text); err != nil {
		return errors.Wrap(err, "fingerprint of a key")
	}
	return nil
}
