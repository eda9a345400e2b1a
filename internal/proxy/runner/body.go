package runner

import (
	"context"
	"io"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
)

const (
	// maxForwardedBodyBytes limits the body of a response that is returned to a peer.
	maxForwardedBodyBytes = 8 << 20
)

var (
	errResponseTooLarge = errors.New("response body too large to return to peer")
)

type (
	// cancelOnClose cancels the context of a request when the response body is closed. The body
	// cannot be read after the context has ended.
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
