package logs

import (
	"strings"
	"testing"
)

type (
	// blockedWriter blocks all writes until release is closed.
	blockedWriter struct {
		release chan struct{}
		text    strings.Builder
	}
)

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.text.Write(p)
}

// If the reader of the log stops reading, requests must not block. Dropped lines must be counted,
// so that a gap in the log is not mistaken for a period without events.
func TestWriteDoesNotBlockOnSlowWriter(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	b := NewBuffer(w, 10)
	for range 100 {
		if n, err := b.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("wrote %d bytes (%v), want 5", n, err)
		}
	}
	close(w.release)
	b.Close()
	written := strings.Count(w.text.String(), "line\n")
	if got := written + int(b.Dropped()); got != 100 {
		t.Errorf("%d lines written and %d counted as dropped, want 100 in all", written, b.Dropped())
	}
	if written < 10 || b.Dropped() == 0 {
		t.Errorf("%d lines written, %d dropped; want the buffer's lines kept and the rest dropped", written, b.Dropped())
	}
}
