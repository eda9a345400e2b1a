package operator

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"
)

const (
	roleAuthor   = "author"
	roleApprover = "approver"
)

var (
	// ErrMissingSignature means that a required signature is missing.
	ErrMissingSignature = errors.New("signature missing")
	// ErrUntrustedKey means that the signing operator has no trusted key.
	ErrUntrustedKey = errors.New("key is not trusted")
	// ErrInvalidSignature means that a signature, or the digest, does not match the bundle.
	ErrInvalidSignature = errors.New("signature does not match the bundle")
	// ErrSameOperator means that the author and the approver are the same person.
	ErrSameOperator = errors.New("author and approver must be different people")
)

type (
	// PublicKey is an operator's Ed25519 public key in base64.
	PublicKey string

	// KeyPair is the content of an operator's key file. Seed is the private key and must stay with
	// the operator.
	KeyPair struct {
		Operator  string    `json:"operator"`
		PublicKey PublicKey `json:"public-key"`
		Seed      string    `json:"seed"`
	}

	// TrustedKey associates an operator with a public key. All keys with the same operator name
	// belong to one person.
	TrustedKey struct {
		Operator  string    `json:"operator"`
		PublicKey PublicKey `json:"public-key"`
	}

	// Signature is an operator's signature of a bundle's digest.
	Signature struct {
		Operator string `json:"operator"`
		Value    string `json:"value"`
	}

	// Envelope is a bundle with its signatures. OperationID identifies a rollout, so that its
	// outcome can be determined by reading the value back if the response is lost.
	Envelope struct {
		Bundle      json.RawMessage `json:"bundle"`
		Digest      Digest          `json:"digest"`
		Author      Signature       `json:"author"`
		Approver    Signature       `json:"approver,omitzero"`
		OperationID string          `json:"operation,omitempty"`
	}

	// TrustedKeys is the set of keys that a node trusts.
	TrustedKeys []TrustedKey
)

// NewKeyPair generates a key pair for an operator.
func NewKeyPair(operator string) (*KeyPair, error) {
	if operator == "" {
		return nil, errors.New("operator: name must not be empty")
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	return &KeyPair{
		Operator:  operator,
		PublicKey: PublicKey(base64.StdEncoding.EncodeToString(public)),
		Seed:      base64.StdEncoding.EncodeToString(private.Seed()),
	}, nil
}

// TrustedKey returns the operator's name and public key.
func (k *KeyPair) TrustedKey() TrustedKey {
	return TrustedKey{Operator: k.Operator, PublicKey: k.PublicKey}
}

// Propose returns an envelope with the bundle and the author's signature.
func (k *KeyPair) Propose(b *Bundle) (*Envelope, error) {
	digest := b.Digest()
	signature, err := k.sign(roleAuthor, digest)
	if err != nil {
		return nil, err
	}
	return &Envelope{Bundle: b.Encode(), Digest: digest, Author: signature}, nil
}

// Approve adds the approver's signature, which must be of another person than the author's.
func (k *KeyPair) Approve(e *Envelope) error {
	if e.Author.Operator == k.Operator {
		return ErrSameOperator
	}
	signature, err := k.sign(roleApprover, e.Digest)
	if err != nil {
		return err
	}
	e.Approver = signature
	return nil
}

func (k *KeyPair) sign(role string, d Digest) (Signature, error) {
	seed, err := base64.StdEncoding.DecodeString(k.Seed)
	if err != nil || len(seed) != ed25519.SeedSize {
		return Signature{}, errors.New("seed: must be 32 bytes in base64")
	}
	value := ed25519.Sign(ed25519.NewKeyFromSeed(seed), signedMessage(role, d))
	return Signature{Operator: k.Operator, Value: base64.StdEncoding.EncodeToString(value)}, nil
}

// signedMessage returns the bytes that are signed. They include the role, so that an author's
// signature cannot be replayed as an approver's.
func signedMessage(role string, d Digest) []byte {
	return fmt.Appendf(nil, "gypsumquay bundle %s %s", role, d)
}

// VerifyProposal validates the bundle and verifies its digest and the author's signature.
func (t TrustedKeys) VerifyProposal(e *Envelope) (*Bundle, error) {
	b, err := ParseBundle(e.Bundle)
	if err != nil {
		return nil, err
	}
	if b.Digest() != e.Digest {
		return nil, errors.Wrap(ErrInvalidSignature, "digest")
	}
	if err := t.verify(roleAuthor, e.Author, e.Digest); err != nil {
		return nil, errors.Wrap(err, roleAuthor)
	}
	return b, nil
}

// Verify validates a bundle that is to be rolled out. It requires valid signatures of two different
// trusted people.
func (t TrustedKeys) Verify(e *Envelope) (*Bundle, error) {
	b, err := t.VerifyProposal(e)
	if err != nil {
		return nil, err
	}
	if err := t.verify(roleApprover, e.Approver, e.Digest); err != nil {
		return nil, errors.Wrap(err, roleApprover)
	}
	if e.Author.Operator == e.Approver.Operator {
		return nil, ErrSameOperator
	}
	return b, nil
}

func (t TrustedKeys) verify(role string, s Signature, d Digest) error {
	if s.Operator == "" || s.Value == "" {
		return ErrMissingSignature
	}
	value, err := base64.StdEncoding.DecodeString(s.Value)
	if err != nil {
		return ErrInvalidSignature
	}
	hasKey := false
	for _, k := range t {
		if k.Operator != s.Operator {
			continue
		}
		hasKey = true
		public, err := base64.StdEncoding.DecodeString(string(k.PublicKey))
		if err == nil && len(public) == ed25519.PublicKeySize && ed25519.Verify(public, signedMessage(role, d), value) {
			return nil
		}
	}
	if !hasKey {
		return errors.Wrap(ErrUntrustedKey, s.Operator)
	}
	return ErrInvalidSignature
}

// ParseEnvelope decodes an envelope without verifying its signatures.
func ParseEnvelope(data []byte) (*Envelope, error) {
	var e Envelope
	if err := DecodeStrict(data, &e); err != nil {
		return nil, errors.Wrap(err, "envelope")
	}
	return &e, nil
}

// Encode returns the envelope as JSON.
func (e *Envelope) Encode() []byte {
	data, err := json.Marshal(e)
	if err != nil {
		panic("operator: cannot encode envelope: " + err.Error())
	}
	return data
}
