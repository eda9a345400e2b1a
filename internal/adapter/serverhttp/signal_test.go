package serverhttp

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
)

// Guards against backpressure signals that are lost because their responses are discarded.
func TestSignalsOfAllResponsesAreRecorded(t *testing.T) {
	h := testHeaders
	h.Limit, h.Draining, h.DrainingValue = "Limit", "Leaving", "1"
	valid := "HTTP/1.1 200 OK\r\nAttempt: a\r\nSeal: s\r\nLimit: 6.5\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		answer string
		want   float64
	}{
		"valid":                               {valid, 6.5},
		"failed":                              {"HTTP/1.1 500 No\r\nAttempt: a\r\nLimit: 4\r\nContent-Length: 0\r\n\r\n", 4},
		"not run":                             {"HTTP/1.1 503 No\r\nAttempt: a\r\nNot-Run: 1\r\nLimit: 3\r\nContent-Length: 0\r\n\r\n", 3},
		"without a seal":                      {"HTTP/1.1 200 OK\r\nAttempt: a\r\nLimit: 2\r\nContent-Length: 0\r\n\r\n", 2},
		"truncated":                           {"HTTP/1.1 200 OK\r\nAttempt: a\r\nLimit: 1\r\nContent-Length: 9\r\n\r\n", 1},
		"after a response to another request": {"HTTP/1.1 200 OK\r\nAttempt: b\r\nLimit: 5\r\nContent-Length: 0\r\n\r\n" + valid, 5},
		"421 of another server":               {"HTTP/1.1 421 No\r\nAttempt: a\r\nLimit: 7\r\nContent-Length: 0\r\n\r\n", 0},
		"server drains":                       {"HTTP/1.1 500 No\r\nAttempt: a\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", 0},
		"server stays":                        {"HTTP/1.1 500 No\r\nAttempt: a\r\nLeaving: 0\r\nContent-Length: 0\r\n\r\n", 0},
		"503 that pauses":                     {"HTTP/1.1 503 No\r\nAttempt: a\r\nNot-Run: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", 0},
		"301 with Retry-After":                {"HTTP/1.1 301 No\r\nAttempt: a\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", 0},
		"invalid limit":                       {"HTTP/1.1 200 OK\r\nAttempt: a\r\nSeal: s\r\nLimit: few\r\nContent-Length: 0\r\n\r\n", 0},
		"one invalid limit of two":            {"HTTP/1.1 200 OK\r\nAttempt: a\r\nSeal: s\r\nLimit: 8\r\nLimit: x\r\nContent-Length: 0\r\n\r\n", 8},
	} {
		t.Run(name, func(t *testing.T) {
			s := startRawServer(t, func(_, _ int, _ *http.Request, w net.Conn) bool {
				_, _ = fmt.Fprint(w, c.answer)
				return false
			})
			client := newTestClient()
			client.headers = h
			attempt, response := send(client, s, "a")
			response.Release()
			want := backpressure.Signal{Limit: backpressure.Limit{Set: c.want > 0, PerSecond: c.want}, Draining: strings.Contains(name, "drains")}
			if strings.Contains(name, "pauses") {
				want.Pause = 3 * time.Second
			}
			if attempt.Signal != want {
				t.Errorf("got %+v, want %+v", attempt.Signal, want)
			}
		})
	}
}
