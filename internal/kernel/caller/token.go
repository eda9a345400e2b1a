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
	// ErrTokenSyntax means that a text is no token at all.
	ErrTokenSyntax = errors.New("not an idempotency token")
)

type (
	// Nonce identifies one token of one minter.
	Nonce [nonceBytes]byte

	// Minter identifies one process that mints tokens. A restarted process
	// has a new incarnation and knows nothing of the old one's tokens.
	Minter struct {
		Name        string
		Incarnation uint64
	}

	// Token is the right to dispatch one request once, through its minter.
	Token struct {
		Minter  Minter
		Service string
		Nonce   Nonce
		Expiry  time.Time
		mac     []byte
	}

	// TokenKey authenticates a minter's tokens. It lives in the process and,
	// after a planned stop, in the peer that took its records over.
	TokenKey [tokenKeyBytes]byte
)

// ID names the token in events, logs and the header to backend servers.
func (t *Token) ID() string {
	return t.Minter.Name + "-" + strconv.FormatUint(t.Minter.Incarnation, 16) + "-" + hex.EncodeToString(t.Nonce[:])
}

// Text is the form that callers carry.
func (t *Token) Text() string {
	return t.signedPart() + "." + base64.RawURLEncoding.EncodeToString(t.mac)
}

func (t *Token) signedPart() string {
	return fmt.Sprintf("%s.%s.%x.%s.%s.%d", tokenPrefix, t.Minter.Name, t.Minter.Incarnation,
		t.Service, hex.EncodeToString(t.Nonce[:]), t.Expiry.UnixMilli())
}

// Sign sets the token's authenticator.
func (k *TokenKey) Sign(t *Token) {
	t.mac = k.mac(t)
}

// Verify reports whether the token carries this key's authenticator, that is,
// whether it was minted with it and not altered since.
func (k *TokenKey) Verify(t *Token) bool {
	return subtle.ConstantTimeCompare(k.mac(t), t.mac) == 1
}

func (k *TokenKey) mac(t *Token) []byte {
	h := hmac.New(sha256.New, k[:])
	h.Write([]byte(t.signedPart()))
	return h.Sum(nil)
}

// ParseToken reads a token's text. It proves nothing: the minter's name is
// to be believed only if it names a known member, the rest only by the key.
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

// nonceHex returns the text only if it has a nonce's length, so that decoding
// cannot write past the array.
func nonceHex(text string) []byte {
	if len(text) != 2*nonceBytes {
		return nil
	}
	return []byte(text)
}
