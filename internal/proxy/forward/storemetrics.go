package forward

import (
	"context"
	"time"
)

// instrumentStore tells of each call to a store and whether it failed.
func instrumentStore(s Store, called func(operation string, err error)) Store {
	return Store{
		Range: func(ctx context.Context, prefix string, stale bool) ([]KeyValue, uint64, error) {
			items, revision, err := s.Range(ctx, prefix, stale)
			operation := "range"
			if stale {
				operation = "stale-range"
			}
			called(operation, err)
			return items, revision, err
		},
		Watch: func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KeyValue, error) {
			items, err := s.Watch(ctx, prefix, after, wait)
			called("watch", err)
			return items, err
		},
		GrantLease: func(ctx context.Context, span time.Duration) (uint64, error) {
			lease, err := s.GrantLease(ctx, span)
			called("grant", err)
			return lease, err
		},
		RenewLease: func(ctx context.Context, lease uint64) error {
			err := s.RenewLease(ctx, lease)
			called("renew", err)
			return err
		},
		Put: func(ctx context.Context, key string, value []byte, lease uint64) error {
			err := s.Put(ctx, key, value, lease)
			called("put", err)
			return err
		},
		RevokeLease: func(ctx context.Context, lease uint64) error {
			err := s.RevokeLease(ctx, lease)
			called("end", err)
			return err
		},
	}
}
