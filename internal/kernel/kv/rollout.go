package kv

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// RolloutAccepted means that the bundle is now the current one.
	RolloutAccepted RolloutResult = "accepted"
	// RolloutLostRace means that another bundle with this version, or a later one, was rolled out
	// first.
	RolloutLostRace RolloutResult = "lost-race"
	// RolloutUndecided means that the outcome could not be read from the platform. Retrying with
	// the same operation ID is safe and tells the outcome.
	RolloutUndecided RolloutResult = "undecided"
	// RolloutWrongVersion means that the version is not the successor of the current one.
	RolloutWrongVersion RolloutResult = "wrong-version"
)

const (
	maxRolloutAttempts = 5
	rolloutRetryDelay  = 200 * time.Millisecond
)

var (
	// ErrNotFound means that a key has no value.
	ErrNotFound = errors.New("key not found")
	// ErrConflict means that a value is no longer at the expected revision.
	ErrConflict = errors.New("value has been changed concurrently")
	// ErrUnavailable means that the platform did not respond successfully. A write may have taken
	// effect nevertheless.
	ErrUnavailable = errors.New("platform is unavailable")
)

type (
	// RolloutResult is the outcome of a rollout.
	RolloutResult string

	// Value is a stored value with its revision.
	Value struct {
		Revision Revision `json:"revision"`
		Data     []byte   `json:"data"`
	}

	// Store is the interface to the key-value service that rollouts use.
	Store struct {
		Get            func(ctx context.Context, key Key) (Value, error)
		CompareAndSwap func(ctx context.Context, key Key, expect Revision, data []byte) (Revision, error)
		Sleep          func(ctx context.Context, d time.Duration)
	}
)

// Rollout makes a signed bundle the current one, by a compare-and-swap from the preceding version.
// It returns the outcome and the current version. If the response to the write is lost, it reads
// the value back, which carries the operation ID if this rollout took effect.
func Rollout(ctx context.Context, s Store, b *operator.Bundle, e *operator.Envelope) (RolloutResult, uint64) {
	result, current := RolloutUndecided, uint64(0)
	for range maxRolloutAttempts {
		result, current = tryRollout(ctx, s, b, e)
		if result != RolloutUndecided || ctx.Err() != nil {
			return result, current
		}
		s.Sleep(ctx, rolloutRetryDelay)
	}
	return result, current
}

func tryRollout(ctx context.Context, s Store, b *operator.Bundle, e *operator.Envelope) (RolloutResult, uint64) {
	value, err := s.Get(ctx, KeyBundle)
	current := uint64(0)
	switch {
	case errors.Is(err, ErrNotFound):
	case err != nil:
		return RolloutUndecided, 0
	default:
		var isSameOperation bool
		current, isSameOperation = storedVersion(value.Data, e)
		if isSameOperation {
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
	// After a conflict or a lost response, the next attempt reads the value to learn the outcome.
	return RolloutUndecided, current
}

// storedVersion returns the version of the stored bundle and reports whether the operation of e
// stored it. It does not validate the bundle, because one that this client cannot decode is current
// as well.
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
