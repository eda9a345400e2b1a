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

// Guards against signals that are lost with the answers that carry them.
func TestSignalsOfAllResponsesAreRecorded(t *testing.T) {
	h := testHeaders
	h.Limit, h.Draining, h.DrainingValue = "Limit", "Leaving", "1"
	valid := "HTTP/1.1 200 OK\r\nAttempt: a\r\nSeal: s\r\nLimit: 6.5\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		answer string
		want   float64
	}{
		"good":                      {valid, 6.5},
		"failed":                    {"HTTP/1.1 500 No\r\nAttempt: a\r\nLimit: 4\r\nContent-Length: 0\r\n\r\n", 4},
		"refused":                   {"HTTP/1.1 503 No\r\nAttempt: a\r\nNot-Run: 1\r\nLimit: 3\r\nContent-Length: 0\r\n\r\n", 3},
		"without a seal":            {"HTTP/1.1 200 OK\r\nAttempt: a\r\nLimit: 2\r\nContent-Length: 0\r\n\r\n", 2},
		"cut short":                 {"HTTP/1.1 200 OK\r\nAttempt: a\r\nLimit: 1\r\nContent-Length: 9\r\n\r\n", 1},
		"behind one to another":     {"HTTP/1.1 200 OK\r\nAttempt: b\r\nLimit: 5\r\nContent-Length: 0\r\n\r\n" + valid, 5},
		"of another server, a 421":  {"HTTP/1.1 421 No\r\nAttempt: a\r\nLimit: 7\r\nContent-Length: 0\r\n\r\n", 0},
		"that leaves":               {"HTTP/1.1 500 No\r\nAttempt: a\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", 0},
		"that stays":                {"HTTP/1.1 500 No\r\nAttempt: a\r\nLeaving: 0\r\nContent-Length: 0\r\n\r\n", 0},
		"that pauses":               {"HTTP/1.1 503 No\r\nAttempt: a\r\nNot-Run: 1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", 0},
		"that is moved":             {"HTTP/1.1 301 No\r\nAttempt: a\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n", 0},
		"that can't be read":        {"HTTP/1.1 200 OK\r\nAttempt: a\r\nSeal: s\r\nLimit: few\r\nContent-Length: 0\r\n\r\n", 0},
		"twice, of which one reads": {"HTTP/1.1 200 OK\r\nAttempt: a\r\nSeal: s\r\nLimit: 8\r\nLimit: x\r\nContent-Length: 0\r\n\r\n", 8},
	} {
		t.Run(name, func(t *testing.T) {
			s := startRawServer(t, func(_, _ int, _ *http.Request, w net.Conn) bool {
				_, _ = fmt.Fprint(w, c.answer)
				return false
			})
			client := newTestClient()
			client.headers = h
			attempt, answer := send(client, s, "a")
			answer.Release()
			want := backpressure.Signal{Limit: backpressure.Limit{Set: c.want > 0, PerSecond: c.want}, Draining: strings.Contains(name, "leaves")}
			if strings.Contains(name, "pauses") {
				want.Pause = 3 * time.Second
			}
			if attempt.Signal != want {
				t.Errorf("got %+v, want %+v", attempt.Signal, want)
			}
		})
	}
}
