package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

type (
	// Buffer is an asynchronous writer of log lines. Write never blocks, since a blocking log would
	// delay requests. Lines that do not fit into the buffer are dropped and counted.
	Buffer struct {
		lines     chan []byte
		dropped   atomic.Uint64
		done      chan struct{}
		closeOnce sync.Once
	}
)

// NewBuffer returns a buffer for the given number of lines that writes to w.
func NewBuffer(w io.Writer, lines int) *Buffer {
	b := &Buffer{lines: make(chan []byte, lines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			// A failure to write the log cannot be reported anywhere else.
			_, _ = w.Write(line)
		}
	}()
	return b
}

// Write implements io.Writer. It never blocks and never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full.
func (b *Buffer) Dropped() uint64 { return b.dropped.Load() }

// Close writes the remaining lines and waits for that. Write must not be called afterwards.
func (b *Buffer) Close() {
	b.closeOnce.Do(func() { close(b.lines) })
	<-b.done
}
