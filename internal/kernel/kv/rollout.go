package kv

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// RolloutAccepted means that the bundle is the one in force.
	RolloutAccepted RolloutResult = "accepted"
	// RolloutLostRace means that another bundle took the version.
	RolloutLostRace RolloutResult = "lost-race"
	// RolloutUndecided means that the platform does not say; asking again with the
	// same operation is harmless and settles it.
	RolloutUndecided RolloutResult = "undecided"
	// RolloutWrongVersion means that the bundle does not follow the one in force.
	RolloutWrongVersion RolloutResult = "wrong-version"
)

const (
	maxRolloutAttempts = 5
	rolloutRetryDelay  = 200 * time.Millisecond
)

var (
	// ErrNotFound means that a key has no value.
	ErrNotFound = errors.New("no such value")
	// ErrConflict means that a value has changed meanwhile.
	ErrConflict = errors.New("the value has changed meanwhile")
	// ErrUnavailable means that the platform did not answer. A write may have
	// taken effect all the same.
	ErrUnavailable = errors.New("the platform does not answer")
)

type (
	// RolloutResult is what became of a roll-out.
	RolloutResult string

	// Value is one value at one revision.
	Value struct {
		Revision Revision `json:"revision"`
		Data     []byte   `json:"data"`
	}

	// Store is the key-value service, as function fields.
	Store struct {
		Get            func(ctx context.Context, key Key) (Value, error)
		CompareAndSwap func(ctx context.Context, key Key, expect Revision, data []byte) (Revision, error)
		Sleep          func(ctx context.Context, d time.Duration)
	}
)

// Rollout brings a signed bundle into force by one compare-and-swap from the
// version before. When the answer is lost, the value is read back: it carries
// the operation's id if this very roll-out took effect.
func Rollout(ctx context.Context, s Store, b *operator.Bundle, e *operator.Envelope) (RolloutResult, uint64) {
	verdict, current := RolloutUndecided, uint64(0)
	for range maxRolloutAttempts {
		verdict, current = tryRollout(ctx, s, b, e)
		if verdict != RolloutUndecided || ctx.Err() != nil {
			return verdict, current
		}
		s.Sleep(ctx, rolloutRetryDelay)
	}
	return verdict, current
}

func tryRollout(ctx context.Context, s Store, b *operator.Bundle, e *operator.Envelope) (RolloutResult, uint64) {
	value, err := s.Get(ctx, KeyBundle)
	current := uint64(0)
	switch {
	case errors.Is(err, ErrNotFound):
	case err != nil:
		return RolloutUndecided, 0
	default:
		var isSame bool
		current, isSame = storedVersion(value.Data, e)
		if isSame {
			return RolloutAccepted, current
		}
	}
	if b.Version <= current {
		return RolloutLostRace, current
	}
	if b.Version != current+1 {
		return RolloutWrongVersion, current
	}
	_, err = s.CompareAndSwap(ctx, KeyBundle, value.Revision, e.Encode())
	if err == nil {
		return RolloutAccepted, b.Version
	}
	// A conflict or a lost answer: read back who won.
	return RolloutUndecided, current
}

// storedVersion reads the stored version and whether it is this operation's. It does
// not judge the rest: a bundle that this client cannot read is in force too.
func storedVersion(data []byte, e *operator.Envelope) (uint64, bool) {
	stored, err := operator.ParseEnvelope(data)
	if err != nil {
		return 0, false
	}
	var header struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(stored.Bundle, &header); err != nil {
		return 0, false
	}
	return header.Version, stored.OperationID == e.OperationID && stored.Digest == e.Digest
}
