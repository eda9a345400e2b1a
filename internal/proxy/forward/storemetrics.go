package forward

import (
	"context"
	"time"
)

// instrumentStore wraps a store so that each call is reported with its operation and error.
func instrumentStore(s Store, report func(operation string, err error)) Store {
	return Store{
		Range: func(ctx context.Context, prefix string, stale bool) ([]KeyValue, StorePosition, error) {
			items, position, err := s.Range(ctx, prefix, stale)
			operation := "range"
			if stale {
				operation = "stale-range"
			}
			report(operation, err)
			return items, position, err
		},
		Watch: func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]KeyValue, uint64, error) {
			items, era, err := s.Watch(ctx, prefix, after, wait)
			report("watch", err)
			return items, era, err
		},
		GrantLease: func(ctx context.Context, ttl time.Duration) (uint64, error) {
			lease, err := s.GrantLease(ctx, ttl)
			report("grant", err)
			return lease, err
		},
		RenewLease: func(ctx context.Context, lease uint64) error {
			err := s.RenewLease(ctx, lease)
			report("renew", err)
			return err
		},
		Put: func(ctx context.Context, key string, value []byte, lease uint64) error {
			err := s.Put(ctx, key, value, lease)
			report("put", err)
			return err
		},
		RevokeLease: func(ctx context.Context, lease uint64) error {
			err := s.RevokeLease(ctx, lease)
			report("end", err)
			return err
		},
	}
}
