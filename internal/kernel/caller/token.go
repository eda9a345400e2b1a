package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	tokenPrefix   = "g1"
	tokenFields   = 7
	maxTokenBytes = 512
	nonceBytes    = 12
	tokenKeyBytes = 32
)

var (
	// ErrTokenSyntax means that a text does not have the syntax of a token.
	ErrTokenSyntax = errors.New("not an idempotency token")
)

type (
	// Nonce identifies a token among those of a minter.
	Nonce [nonceBytes]byte

	// Minter identifies a process that mints tokens. A restarted process has a new incarnation and
	// does not know the tokens of the old one.
	Minter struct {
		Name        string
		Incarnation uint64
	}

	// Token is an idempotency token: the right to dispatch one request once, through its minter.
	Token struct {
		Minter  Minter
		Service string
		Nonce   Nonce
		Expiry  time.Time
		mac     []byte
	}

	// TokenKey authenticates the tokens of a minter. It is held in memory only, by the minter and,
	// after a graceful shutdown, by the peer that took over its records.
	TokenKey [tokenKeyBytes]byte
)

// ID identifies the token in events, logs and the header to backend servers.
func (t *Token) ID() string {
	return t.Minter.Name + "-" + strconv.FormatUint(t.Minter.Incarnation, 16) + "-" + hex.EncodeToString(t.Nonce[:])
}

// Text returns the encoding of the token that callers send.
func (t *Token) Text() string {
	return t.signedPart() + "." + base64.RawURLEncoding.EncodeToString(t.mac)
}

func (t *Token) signedPart() string {
	return fmt.Sprintf("%s.%s.%x.%s.%s.%d", tokenPrefix, t.Minter.Name, t.Minter.Incarnation,
		t.Service, hex.EncodeToString(t.Nonce[:]), t.Expiry.UnixMilli())
}

// Sign sets the message authentication code (MAC) of the token.
func (k *TokenKey) Sign(t *Token) {
	t.mac = k.mac(t)
}

// Verify reports whether the token's MAC matches this key, that is, whether the token was minted
// with the key and not altered since.
func (k *TokenKey) Verify(t *Token) bool {
	return subtle.ConstantTimeCompare(k.mac(t), t.mac) == 1
}

func (k *TokenKey) mac(t *Token) []byte {
	h := hmac.New(sha256.New, k[:])
	h.Write([]byte(t.signedPart()))
	return h.Sum(nil)
}

// ParseToken parses the text of a token without authenticating it. The minter's name may be trusted
// only if it is that of a known member, and the rest only after verification with the key.
func ParseToken(text string) (*Token, error) {
	if len(text) > maxTokenBytes {
		return nil, ErrTokenSyntax
	}
	parts := strings.Split(text, ".")
	if len(parts) != tokenFields || parts[0] != tokenPrefix {
		return nil, ErrTokenSyntax
	}
	t := &Token{Minter: Minter{Name: parts[1]}, Service: parts[3]}
	incarnation, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return nil, ErrTokenSyntax
	}
	t.Minter.Incarnation = incarnation
	if n, err := hex.Decode(t.Nonce[:], nonceHex(parts[4])); err != nil || n != nonceBytes {
		return nil, ErrTokenSyntax
	}
	millis, err := strconv.ParseInt(parts[5], 10, 64)
	if err != nil {
		return nil, ErrTokenSyntax
	}
	t.Expiry = time.UnixMilli(millis)
	t.mac, err = base64.RawURLEncoding.DecodeString(parts[6])
	if err != nil {
		return nil, ErrTokenSyntax
	}
	return t, nil
}

// nonceHex returns the text only if it has the length of an encoded nonce, so that decoding cannot
// write past the array.
func nonceHex(text string) []byte {
	if len(text) != 2*nonceBytes {
		return nil
	}
	return []byte(text)
}
