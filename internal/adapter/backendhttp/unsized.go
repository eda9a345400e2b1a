package backendhttp

import (
	"context"
	"io"
	"net/http/httptrace"

	"github.com/go-faster/errors"
)

var (
	errCutOff = errors.New("response without length ended before the request was written")
)

type (
	// unsizedBody is the body of a response that ends with its connection. net/http ends it without an
	// error if the connection is reset while the request is being written, as the write takes the error
	// of the socket.
	unsizedBody struct {
		io.ReadCloser
		ctx context.Context
		// written receives the result of writing the request once.
		written <-chan httptrace.WroteRequestInfo
		// end is the result of reading once the body has ended.
		end error
	}
)

// Read implements io.Reader.
func (b *unsizedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.checkEnd()
		b.end = err
	}
	return n, err
}

// checkEnd returns io.EOF if the request was written completely, and the reason otherwise. The transport
// closes the connection at the end of the body, which ends a write that is still blocked.
func (b *unsizedBody) checkEnd() error {
	select {
	case info := <-b.written:
		if info.Err != nil {
			return errors.Wrap(errCutOff, info.Err.Error())
		}
		return io.EOF
	case <-b.ctx.Done():
		return errors.Wrap(errCutOff, b.ctx.Err().Error())
	}
}
