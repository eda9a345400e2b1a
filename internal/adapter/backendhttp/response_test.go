package backendhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
)

const (
	// longUploadBytes is more than the socket buffers hold.
	longUploadBytes = 8 << 20
	// resetTries is how often a response is reset for each pause.
	resetTries = 20
)

// sendUpload sends a long upload to a server that writes a text before it has read the upload.
func sendUpload(t *testing.T, text string, end func(net.Conn)) Response {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 1024))
		_, _ = io.WriteString(c, text)
		end(c)
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return NewClient(4, time.Now).Send(ctx, Request{
		Address: netip.MustParseAddrPort(l.Addr().String()), Method: http.MethodPost, Path: "/", Body: make([]byte, longUploadBytes),
		ID: "one", Attempt: "one/1", Deadline: time.Now().Add(5 * time.Second),
	})
}

// readAll returns the error of the whole response.
func (r Response) readAll() error {
	if r.Result != backend.Completed || r.Remainder == nil {
		return r.Err
	}
	defer func() { _ = r.Remainder.Close() }()
	_, err := io.Copy(io.Discard, r.Remainder)
	return err
}

// Guards against a response without length that is reset while the request is being written and looks
// complete.
func TestResponseThatIsResetDuringUploadIsIncomplete(t *testing.T) {
	for name, length := range map[string]int{"short": 4, "longer than the buffer": ResponseBufferSize + 4} {
		t.Run(name, func(t *testing.T) {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
				for range resetTries {
					r := sendUpload(t, "HTTP/1.1 200 OK\r\n\r\n"+string(make([]byte, length)), func(c net.Conn) {
						time.Sleep(pause)
						_ = c.(*net.TCPConn).SetLinger(0)
					})
					if err := r.readAll(); err == nil {
						t.Fatalf("got result %d, want an incomplete response", r.Result)
					}
				}
			}
		})
	}
}

// Guards against a status or field name that HTTP does not allow and that counts as a response.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":           "HTTP/1.1 000 None\r\nContent-Length: 4\r\n\r\nbody",
		"status 600":           "HTTP/1.1 600 None\r\nContent-Length: 4\r\n\r\nbody",
		"blank in name":        "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"blank after length":   "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody, and more",
		"blank after encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"control byte in name": "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			r := startRawServer(t, func(_ int, c net.Conn) bool {
				_, _ = io.WriteString(c, text)
				return false
			})
			if got := send(t, r.address, http.MethodGet, 5*time.Second); got.Result != backend.Interrupted {
				t.Errorf("got result %d (%v), want %d", got.Result, got.Err, backend.Interrupted)
			}
		})
	}
}
