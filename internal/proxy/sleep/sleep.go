// Package sleep provides a sleep that ends early when a context is done.
package sleep

import (
	"context"
	"time"
)

// For waits for d or until the context is done.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
