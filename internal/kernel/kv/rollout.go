package kv

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// Accepted means that the bundle is the one in force.
	Accepted Verdict = "accepted"
	// LostRace means that another bundle took the version.
	LostRace Verdict = "lost-race"
	// Undecided means that the platform does not say; asking again with the
	// same operation is harmless and settles it.
	Undecided Verdict = "undecided"
	// WrongVersion means that the bundle does not follow the one in force.
	WrongVersion Verdict = "wrong-version"
)

const (
	settleTries = 5
	settlePause = 200 * time.Millisecond
)

var (
	// ErrAbsent means that a key has no value.
	ErrAbsent = errors.New("no such value")
	// ErrConflict means that a value has changed meanwhile.
	ErrConflict = errors.New("the value has changed meanwhile")
	// ErrUnavailable means that the platform did not answer. A write may have
	// taken effect all the same.
	ErrUnavailable = errors.New("the platform does not answer")
)

type (
	// Verdict is what became of a roll-out.
	Verdict string

	// Value is one value at one revision.
	Value struct {
		Revision Revision `json:"revision"`
		Data     []byte   `json:"data"`
	}

	// Store is the key-value service, as function fields.
	Store struct {
		Get   func(ctx context.Context, key Key) (Value, error)
		Swap  func(ctx context.Context, key Key, expect Revision, data []byte) (Revision, error)
		Pause func(ctx context.Context, d time.Duration)
	}
)

// Rollout brings a signed bundle into force by one compare-and-swap from the
// version before. When the answer is lost, the value is read back: it carries
// the operation's id if this very roll-out took effect.
func Rollout(ctx context.Context, s Store, b *operator.Bundle, e *operator.Envelope) (Verdict, uint64) {
	verdict, current := Undecided, uint64(0)
	for range settleTries {
		verdict, current = rolloutOnce(ctx, s, b, e)
		if verdict != Undecided || ctx.Err() != nil {
			return verdict, current
		}
		s.Pause(ctx, settlePause)
	}
	return verdict, current
}

func rolloutOnce(ctx context.Context, s Store, b *operator.Bundle, e *operator.Envelope) (Verdict, uint64) {
	value, err := s.Get(ctx, KeyBundle)
	current := uint64(0)
	switch {
	case errors.Is(err, ErrAbsent):
	case err != nil:
		return Undecided, 0
	default:
		var same bool
		current, same = inForce(value.Data, e)
		if same {
			return Accepted, current
		}
	}
	if b.Version <= current {
		return LostRace, current
	}
	if b.Version != current+1 {
		return WrongVersion, current
	}
	_, err = s.Swap(ctx, KeyBundle, value.Revision, e.Encode())
	if err == nil {
		return Accepted, b.Version
	}
	// A conflict or a lost answer: read back who won.
	return Undecided, current
}

// inForce reads the stored version and whether it is this operation's. It does
// not judge the rest: a bundle that this client cannot read is in force too.
func inForce(data []byte, e *operator.Envelope) (uint64, bool) {
	stored, err := operator.ParseEnvelope(data)
	if err != nil {
		return 0, false
	}
	var head struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(stored.Bundle, &head); err != nil {
		return 0, false
	}
	return head.Version, stored.Operation == e.Operation && stored.Digest == e.Digest
}
