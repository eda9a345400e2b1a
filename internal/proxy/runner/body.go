package runner

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
)

const (
	// maxForwardedBodyBytes bounds an answer that travels between proxies.
	maxForwardedBodyBytes = 8 << 20
)

var (
	errResponseTooLarge = errors.New("answer too large to hand on")
)

type (
	// cancelOnClose ends a request's context with its body, not before.
	cancelOnClose struct {
		io.ReadCloser
		cancel context.CancelFunc
	}

	boundedBuffer struct {
		data []byte
	}
)

// Close implements io.Closer.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return errs.Wrap(c.ReadCloser.Close(), "close body")
}

// Write implements io.Writer.
func (b *boundedBuffer) Write(p []byte) (int, error) {
	if len(b.data)+len(p) > maxForwardedBodyBytes {
		return 0, errResponseTooLarge
	}
	b.data = append(b.data, p...)
	return len(p), nil
}
