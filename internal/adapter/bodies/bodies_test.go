package bodies

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"
)

func body(n int) io.Reader { return strings.NewReader(strings.Repeat("b", n)) }

func TestReadEnforcesLimit(t *testing.T) {
	for _, c := range []struct {
		size                 int
		contentLength, limit int64
		want                 error
	}{
		{0, 0, 10, nil},
		{10, 10, 10, nil},
		{11, 11, 10, ErrTooLarge},
		{10, -1, 10, nil},
		{11, -1, 10, ErrTooLarge},
		{3 * initialReservation, -1, 3 * initialReservation, nil},
		{3*initialReservation + 1, -1, 3 * initialReservation, ErrTooLarge},
		{3*initialReservation - 1, -1, 10 * initialReservation, nil},
	} {
		m := NewMemoryBudget(20 * initialReservation)
		b, err := m.Read(iotest.HalfReader(body(c.size)), c.contentLength, c.limit)
		if !errors.Is(err, c.want) {
			t.Errorf("%d bytes, content length %d, limit %d: got error %v, want %v", c.size, c.contentLength, c.limit, err, c.want)
			continue
		}
		if err == nil && len(b.Bytes) != c.size {
			t.Errorf("%d bytes, content length %d, limit %d: read %d bytes", c.size, c.contentLength, c.limit, len(b.Bytes))
		}
		b.Release()
		if !m.tryAcquire(20 * initialReservation) {
			t.Errorf("%d bytes, content length %d, limit %d: memory is not released", c.size, c.contentLength, c.limit)
		}
	}
}

// Guards against concurrent bodies that exceed the memory of the VM. Some must be rejected, which
// can be retried, instead of the process being killed with all its requests.
func TestBodiesStayWithinMemoryBudget(t *testing.T) {
	m := NewMemoryBudget(150)
	first, err := m.Read(body(100), 100, 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, contentLength := range []int64{60, -1} {
		if _, err := m.Read(body(60), contentLength, 100); !errors.Is(err, ErrMemoryExhausted) {
			t.Errorf("60 bytes in addition to 100, content length %d: got error %v, want %v", contentLength, err, ErrMemoryExhausted)
		}
	}
	first.Release()
	first.Release()
	if _, err := m.Read(body(60), 60, 100); err != nil {
		t.Errorf("60 bytes after the release: got error %v, want none", err)
	}
}

// Guards against a caller that announces a body and does not send it: its connection and the memory
// for the body were occupied until the caller disconnected.
func TestIncompleteBodyTimesOut(t *testing.T) {
	m, failed := NewMemoryBudget(100), make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := m.ReadRequest(w, r, 100, 10*time.Millisecond)
		failed <- err
	}))
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nonly a part"); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got error %v, want %v", err, os.ErrDeadlineExceeded)
	}
	if !m.tryAcquire(100) {
		t.Error("memory is not released")
	}
}

// Guards against a read deadline that outlives its body and fails later requests on the same
// connection.
func TestReadDeadlineIsClearedAfterBody(t *testing.T) {
	m, timeout := NewMemoryBudget(100), 500*time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b, err := m.ReadRequest(w, r, 100, timeout); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		} else {
			time.Sleep(2 * timeout)
			b.Release()
		}
	}))
	defer server.Close()
	for range 2 {
		response, err := server.Client().Post(server.URL, "text/plain", body(50))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("got status %d, want 200", response.StatusCode)
		}
	}
}

// Guards against a caller that requests a large response and does not read it: the memory of the
// response was occupied until the caller disconnected.
func TestUnreadResponseTimesOut(t *testing.T) {
	failed := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		failed <- Write(w, make([]byte, 64<<20), 20*time.Millisecond)
	}))
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got error %v, want %v", err, os.ErrDeadlineExceeded)
	}
}

// Guards against a write deadline that fails later responses on the same connection.
func TestWriteDeadlineIsPerResponse(t *testing.T) {
	const timeout = 500 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(timeout)
		if err := Write(w, []byte("answer"), timeout); err != nil {
			t.Errorf("write: %v", err)
		}
	}))
	defer server.Close()
	for range 3 {
		response, err := server.Client().Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || string(got) != "answer" {
			t.Errorf("got %q, error %v; want the complete response", got, err)
		}
	}
}

func TestReadErrorIsReturned(t *testing.T) {
	m := NewMemoryBudget(100)
	errRead := errors.New("read failed")
	if _, err := m.Read(io.MultiReader(body(5), iotest.ErrReader(errRead)), 10, 100); !errors.Is(err, errRead) {
		t.Errorf("got error %v, want %v", err, errRead)
	}
	if !m.tryAcquire(100) {
		t.Error("memory is not released")
	}
}

// BenchmarkRead reads a body of 64 KB whose length is known. With a growing buffer and another copy
// it took three times as long and as much memory.
func BenchmarkRead(b *testing.B) {
	const size = 64 << 10
	m, data := NewMemoryBudget(size), make([]byte, size)
	b.ReportAllocs()
	for b.Loop() {
		body, err := m.Read(io.LimitReader(bytes.NewReader(data), size), size, size)
		if err != nil {
			b.Fatal(err)
		}
		body.Release()
	}
}
