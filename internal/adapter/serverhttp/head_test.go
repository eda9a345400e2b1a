package serverhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// testHeadMemory is enough for a few heads of the maximum size.
	testHeadMemory = 1 << 20
)

// sendTo sends a request to a server that writes a response in parts: "#" in the repeated part stands for
// its number. It returns the attempt and the memory budget of the client.
func sendTo(t *testing.T, memory int64, first, part string, count int, last string) (steering.Attempt, *Response, *bodies.MemoryBudget) {
	t.Helper()
	s := startRawServer(t, func(_, _ int, _ *http.Request, w net.Conn) bool {
		_, err := io.WriteString(w, first)
		for i := 0; i < count && err == nil; i++ {
			_, err = io.WriteString(w, strings.ReplaceAll(part, "#", fmt.Sprint(i)))
		}
		if err == nil {
			_, err = io.WriteString(w, last)
		}
		return err == nil
	})
	budget := bodies.NewMemoryBudget(memory)
	c := NewClient(testHeaders, budget, time.Now, func() {})
	a, response := c.Send(context.Background(), newRequest(s, "one"))
	return a, response, budget
}

// Guards against a server that fills the memory of the proxy with a head of any length until the
// request's deadline.
func TestHeadOfResponseIsLimited(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nAttempt: one\r\nSeal: s\r\n"
	for name, c := range map[string]struct {
		first, part string
		count       int
		last        string
		want        error
	}{
		"no end of line":    {"", strings.Repeat("x", 16<<10), 1024, "", errHeadTooLarge},
		"long field":        {ok + "Long: ", strings.Repeat("x", 16<<10), 1024, "", errHeadTooLarge},
		"many fields":       {ok, "A#: b\r\n", 1 << 20, "", errHeadTooLarge},
		"a few fields more": {ok, "A#: b\r\n", maxHeadFields, "\r\n", errHeadTooLarge},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n", 1 << 20, "", errTooManyInterim},
	} {
		t.Run(name, func(t *testing.T) {
			a, _, budget := sendTo(t, testHeadMemory, c.first, c.part, c.count, c.last)
			if a.Result != steering.ResultConnectionLost || !errors.Is(a.Err, c.want) {
				t.Errorf("got result %s (%v), want %s (%v)", a.Result, a.Err, steering.ResultConnectionLost, c.want)
			}
			if !budget.NewReservation().TryGrow(testHeadMemory) {
				t.Error("the memory of the head is still reserved")
			}
		})
	}
}

// Guards against many long heads that together take more than the memory budget.
func TestHeadIsChargedToMemoryBudget(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nAttempt: one\r\nSeal: s\r\nContent-Length: 0\r\nLong: " + strings.Repeat("x", maxHeadBytes/2) + "\r\n\r\n"
	if a, _, _ := sendTo(t, maxHeadBytes, head, "", 0, ""); a.Result != steering.ResultConnectionLost || !errors.Is(a.Err, bodies.ErrMemoryExhausted) {
		t.Errorf("got result %s (%v), want %s (%v)", a.Result, a.Err, steering.ResultConnectionLost, bodies.ErrMemoryExhausted)
	}
	a, response, budget := sendTo(t, testHeadMemory, head, "", 0, "")
	expectResult(t, a, response, steering.ResultResponded, "")
	all := budget.NewReservation()
	if all.TryGrow(testHeadMemory) {
		t.Error("the memory of the head is not reserved while the response is in use")
	}
	response.Release()
	if !all.TryGrow(testHeadMemory) {
		t.Error("the memory of the head is still reserved after the response was released")
	}
}
