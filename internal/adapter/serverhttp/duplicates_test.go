package serverhttp

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// exchangeHeader is echoed by the test's servers. Unlike the attempt ID it is unique to a send.
	exchangeHeader = "Exchange"
)

type (
	// duplicatingServer sends some of its responses again: at once, or in the place of a later
	// response on the connection. It counts the runs of each exchange.
	duplicatingServer struct {
		mu     sync.Mutex
		random *rand.Rand
		// last holds the latest response of each connection that is still to be sent again.
		last map[int]string
		runs map[string]int
	}
)

func rejection(attempt string) string {
	return fmt.Sprintf("HTTP/1.1 503 Busy\r\nAttempt: %s\r\nNot-Run: 1\r\nLoad: 0,0,4\r\nContent-Length: 0\r\n\r\n", attempt)
}

// sendTwice sends a request with the attempt ID "one" twice and returns the second attempt. The server
// responds with the given responses, and repeats the first one before the second if both requests arrive
// on one connection.
func sendTwice(t *testing.T, first, second string) (steering.Attempt, *Response) {
	t.Helper()
	var sends atomic.Int32
	s := startRawServer(t, func(_, request int, _ *http.Request, w net.Conn) bool {
		if sends.Add(1) == 1 {
			_, _ = io.WriteString(w, first)
			return true
		}
		if request == 2 {
			_, _ = io.WriteString(w, first)
		}
		_, _ = io.WriteString(w, second)
		return true
	})
	c := newTestClient()
	_, response := send(c, s, "one")
	response.Release()
	return send(c, s, "one")
}

// Guards against a request that is reported as not run although it runs: the server repeats its
// rejection of the first send where the response to the second is expected.
func TestLateDuplicateOfRejectionDoesNotAnswerSecondSend(t *testing.T) {
	a, response := sendTwice(t, rejection("one"), okResponse("one", "ran"))
	expectResult(t, a, response, steering.ResultResponded, "ran")
}

// Guards against a request that is reported as not run although it runs, where the address belonged to
// another server at the first send.
func TestLateDuplicateOfWrongServerDoesNotAnswerSecondSend(t *testing.T) {
	const wrongServer = "HTTP/1.1 421 Other\r\nAttempt: one\r\nContent-Length: 0\r\n\r\n"
	a, response := sendTwice(t, wrongServer, okResponse("one", "ran"))
	expectResult(t, a, response, steering.ResultResponded, "ran")
}

// Guards against an outdated response for a caller that uses an attempt ID twice.
func TestLateDuplicateOfResponseDoesNotAnswerSecondSend(t *testing.T) {
	a, response := sendTwice(t, okResponse("one", "first"), okResponse("one", "second"))
	expectResult(t, a, response, steering.ResultResponded, "second")
}

// Checks that a connection that has carried the attempt ID is kept for other requests.
func TestConnectionPassedOverIsKeptForOtherRequests(t *testing.T) {
	s := startRawServer(t, func(_, _ int, r *http.Request, w net.Conn) bool {
		_, _ = io.WriteString(w, okResponse(r.Header.Get("Attempt"), ""))
		return true
	})
	c := newTestClient()
	for i, want := range []uint64{1, 2, 2, 1} {
		a, _ := send(c, s, []string{"one", "one", "two", "two"}[i])
		if a.Connection != want {
			t.Errorf("send %d: got connection %d, want %d", i+1, a.Connection, want)
		}
	}
}

// Guards against a response without an attempt ID that is trusted on a used connection, because a
// measurement of the round trip borrowed it before.
func TestMeasuredConnectionStaysUsed(t *testing.T) {
	s := startRawServer(t, func(_, request int, r *http.Request, w net.Conn) bool {
		text := okResponse(r.Header.Get("Attempt"), "")
		if request > 1 {
			text = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		}
		_, _ = io.WriteString(w, text)
		return true
	})
	c := newTestClient()
	_, response := send(c, s, "one")
	response.Release()
	if _, err := c.MeasureRoundTrip(context.Background(), s.address(), testTimeout); err != nil {
		t.Fatal(err)
	}
	a, response := send(c, s, "two")
	expectResult(t, a, response, steering.ResultConnectionLost, "")
}

// respond answers a request after the repeated responses that are due on its connection.
func (s *duplicatingServer) respond(conn, _ int, r *http.Request, w net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt, exchange := r.Header.Get("Attempt"), r.Header.Get(exchangeHeader)
	if last := s.last[conn]; last != "" && s.random.IntN(2) == 0 {
		_, _ = io.WriteString(w, last)
		delete(s.last, conn)
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nSeal: s\r\n", exchangeHeader, exchange)
	rejects := s.random.IntN(2) == 0
	if rejects {
		head = fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: %s\r\nNot-Run: 1\r\nLoad: 0,0,4\r\n", exchangeHeader, exchange)
	} else {
		s.runs[exchange]++
	}
	if attempt != "" {
		head += "Attempt: " + attempt + "\r\n"
	}
	text := head + "Content-Length: 0\r\n\r\n"
	_, _ = io.WriteString(w, text)
	switch s.random.IntN(4) {
	case 0:
		_, _ = io.WriteString(w, text)
	case 1, 2:
		s.last[conn] = text
	}
	return true
}

// Searches random orders of sends, repeated attempt IDs and duplicate responses. Guards against a
// response that is taken for that to another send, or for "not run" by a request that ran.
func TestResponsesBelongToTheirSend(t *testing.T) {
	for seed := range uint64(20) {
		d := &duplicatingServer{random: rand.New(rand.NewPCG(seed, 1)), last: make(map[int]string), runs: make(map[string]int)}
		s := startRawServer(t, d.respond)
		c, random := newTestClient(), rand.New(rand.NewPCG(seed, 2))
		for i := range 200 {
			attempt := []string{"", "one", "two", fmt.Sprint("new ", i)}[random.IntN(4)]
			r := newRequest(s, attempt)
			exchange := fmt.Sprint(i)
			r.Header = http.Header{exchangeHeader: {exchange}}
			if attempt != "" {
				r.Header.Set("Attempt", attempt)
			}
			a, response := c.Send(context.Background(), r)
			if response == nil {
				continue
			}
			if got := response.Header.Get(exchangeHeader); got != exchange {
				t.Errorf("seed %d: send %s with attempt ID %q got the response to send %s (result %s)", seed, exchange, attempt, got, a.Result)
			}
			d.mu.Lock()
			if ran := d.runs[exchange] > 0; ran && slices.Contains([]steering.Result{steering.ResultRejected, steering.ResultWrongServer}, a.Result) {
				t.Errorf("seed %d: send %s ran, its result is %s", seed, exchange, a.Result)
			}
			d.mu.Unlock()
			response.Release()
		}
	}
}
