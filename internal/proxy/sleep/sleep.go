// Package sleep waits without outliving what waits.
package sleep

import (
	"context"
	"time"
)

// For waits for a time or until the context ends.
func For(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
