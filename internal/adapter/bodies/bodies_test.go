package bodies

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"
)

// testBodyBytes is a length of several pieces.
const testBodyBytes = 64 << 10

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
		{3 * testBodyBytes, -1, 3 * testBodyBytes, nil},
		{3*testBodyBytes + 1, -1, 3 * testBodyBytes, ErrTooLarge},
		{3*testBodyBytes - 1, -1, 10 * testBodyBytes, nil},
	} {
		m := NewMemoryBudget(20 * testBodyBytes)
		b, err := m.Read(iotest.HalfReader(body(c.size)), c.contentLength, c.limit)
		if !errors.Is(err, c.want) {
			t.Errorf("%d bytes, content length %d, limit %d: got error %v, want %v", c.size, c.contentLength, c.limit, err, c.want)
			continue
		}
		if err == nil && b.Content.Len() != c.size {
			t.Errorf("%d bytes, content length %d, limit %d: read %d bytes", c.size, c.contentLength, c.limit, b.Content.Len())
		}
		b.Release()
		if !m.tryAcquire(20 * testBodyBytes) {
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
		failed <- Write(w, NewContent(make([]byte, 64<<20)), 20*time.Millisecond)
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
		if err := Write(w, NewContent([]byte("answer")), timeout); err != nil {
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

// Guards against a body of unknown length that takes more memory than it reserves: a single buffer that grows is
// copied, and the copies wait for the garbage collector.
func TestBodyOfUnknownLengthAllocatesWhatItReserves(t *testing.T) {
	const size = 24 << 20
	m := NewMemoryBudget(2 * size)
	source := body(size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b, err := m.Read(source, -1, 2*size)
	runtime.ReadMemStats(&after)
	if err != nil {
		t.Fatal(err)
	}
	defer b.Release()
	allocated := int64(after.TotalAlloc - before.TotalAlloc)
	if b.Content.Len() != size || allocated > b.reserved+maxPiece || b.reserved > size+maxPiece {
		t.Errorf("%d bytes: %d reserved and %d allocated, want about as much as the body has", b.Content.Len(), b.reserved, allocated)
	}
}

// Guards against pieces of a body that are lost, repeated or out of order.
func TestPiecesAreInOrder(t *testing.T) {
	want := make([]byte, 3*maxPiece+17)
	for i := range want {
		want[i] = byte(i * i >> 8)
	}
	b, err := NewMemoryBudget(1<<30).Read(iotest.HalfReader(bytes.NewReader(want)), -1, 1<<30)
	if err != nil {
		t.Fatal(err)
	}
	read, err := io.ReadAll(b.Content.Reader())
	if err != nil || !bytes.Equal(read, want) || !bytes.Equal(b.Content.Bytes(), want) {
		t.Errorf("got %d and %d bytes in %d pieces, error %v, want the %d bytes of the body", len(read), b.Content.Len(), len(b.Content), err, len(want))
	}
}

// Guards against a body that is cut off between two pieces and counts as complete.
func TestTruncatedBodyOfUnknownLengthIsIncomplete(t *testing.T) {
	for _, length := range []int{0, minPiece - 1, minPiece, maxPiece} {
		r := io.MultiReader(body(length), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, err := NewMemoryBudget(1<<30).Read(r, -1, 1<<30); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut off after %d bytes: got error %v, want %v", length, err, io.ErrUnexpectedEOF)
		}
	}
}
