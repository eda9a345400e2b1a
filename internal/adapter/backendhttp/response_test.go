package backendhttp

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
)

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
