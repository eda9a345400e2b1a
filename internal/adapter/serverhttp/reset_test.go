package serverhttp

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// longUploadBytes is more than the socket buffers hold.
	longUploadBytes = 8 << 20
	// resetTries is how often a response is reset for each pause.
	resetTries = 20
)

// sendUpload sends a long upload to a server that responds without a length before it has read it.
func sendUpload(t *testing.T, c *Client, end func(net.Conn)) (steering.Attempt, *Response) {
	t.Helper()
	s := startRawServer(t, func(_, _ int, r *http.Request, w net.Conn) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nAttempt: "+r.Header.Get("Attempt")+"\r\nSeal: s\r\n\r\nbody")
		end(w)
		return false
	})
	r := newRequest(s, "one")
	r.Method, r.Body = http.MethodPost, bodies.NewContent(bytes.Repeat([]byte("x"), longUploadBytes))
	return c.Send(t.Context(), r)
}

// Guards against a response without length that is reset while the request is being written and looks
// complete: the write takes the error of the socket, and the read then sees the end of the stream.
func TestResponseThatIsResetDuringUploadIsIncomplete(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
		for range resetTries {
			a, response := sendUpload(t, newTestClient(), func(c net.Conn) {
				time.Sleep(pause)
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			if response != nil {
				t.Fatalf("got result %s %v after the response, want none", a.Result, pause)
			}
		}
	}
}

// Guards against rejecting a response without length that is complete: its server has closed only its own
// side of the connection.
func TestResponseThatEndsDuringUploadIsComplete(t *testing.T) {
	received := make(chan struct{})
	a, response := sendUpload(t, newTestClient(), func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		<-received
	})
	close(received)
	expectResult(t, a, response, steering.ResultResponded, "body")
}
