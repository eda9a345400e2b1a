package serverhttp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// oversizeServer responds with a body without end, or with one of the given length and no Content-Length.
func oversizeServer(t *testing.T) (s *rawServer, length *atomic.Int64) {
	length = new(atomic.Int64)
	chunk := strings.Repeat("x", 64<<10)
	return startRawServer(t, func(_, _ int, r *http.Request, w net.Conn) bool {
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Attempt"))
		for n := length.Load(); err == nil && n != 0; n -= int64(len(chunk)) {
			_, err = fmt.Fprintf(w, "%x\r\n%s\r\n", len(chunk), chunk)
		}
		if err == nil {
			_, err = io.WriteString(w, "0\r\n\r\n")
		}
		return err == nil
	}), length
}

// Guards against servers that cost the proxy the largest response again and again: its link and processor
// are also those of all others.
func TestServerWithoutEndIsReadLessNextTime(t *testing.T) {
	s, length := oversizeServer(t)
	now := time.Now()
	c := NewClient(testHeaders, bodies.NewMemoryBudget(64<<20), func() time.Time { return now }, func() {})
	expect := func(attempt string, bytes int64, want steering.Result) {
		t.Helper()
		length.Store(bytes)
		a, response := send(c, s, attempt)
		response.Release()
		if a.Result != want || want == steering.ResultConnectionLost && !errors.Is(a.Err, bodies.ErrTooLarge) {
			t.Errorf("%s: got %s (%v), want %s", attempt, a.Result, a.Err, want)
		}
	}
	const endless, long = -1, 4 * reducedResponseBytes
	expect("long before", long, steering.ResultResponded)
	expect("endless", endless, steering.ResultConnectionLost)
	expect("long meanwhile", long, steering.ResultConnectionLost)
	expect("short meanwhile", reducedResponseBytes/2, steering.ResultResponded)
	now = now.Add(oversizeMemory)
	expect("long afterwards", long, steering.ResultResponded)
}
