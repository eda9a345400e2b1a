package forwardhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// Guards against a response that is lost because its connection is reset: the caller sends another request
// while the proxy, which shuts down, closes the connection behind the response.
func TestResponseIsNotResetByLaterRequest(t *testing.T) {
	p := newPipelineProxy(t)
	long := bytes.Repeat([]byte("x"), 48<<10)
	p.server.Send = func(context.Context, serverhttp.Request) (steering.Attempt, *serverhttp.Response) {
		return steering.Attempt{Result: steering.ResultResponded}, &serverhttp.Response{Status: http.StatusOK, Header: http.Header{}, Body: &bodies.Body{Content: bodies.NewContent(long)}}
	}
	p.stopping = true
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	request := "GET /r/1 HTTP/1.1\r\nHost: h\r\nAttempt: 1\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	// The response fits into the buffers of the sockets, so the proxy closes the connection.
	time.Sleep(200 * time.Millisecond)
	_, _ = io.WriteString(conn, request)
	time.Sleep(100 * time.Millisecond)
	rest, err := io.ReadAll(response.Body)
	if err != nil || len(rest) != len(long) {
		t.Errorf("got %d bytes of %d, error %v", len(rest), len(long), err)
	}
}
