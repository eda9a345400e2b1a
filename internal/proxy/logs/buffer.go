package logs

import (
	"io"
	"sync"
	"sync/atomic"
)

type (
	// Buffer hands lines to a slow writer without ever waiting for it. Lines
	// that find no room are dropped and counted: a log that blocked would hold
	// up requests.
	Buffer struct {
		lines     chan []byte
		dropped   atomic.Uint64
		done      chan struct{}
		closeOnce sync.Once
	}
)

// NewBuffer makes a buffer of a number of lines before a writer.
func NewBuffer(w io.Writer, lines int) *Buffer {
	b := &Buffer{lines: make(chan []byte, lines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			// There is nowhere else to tell of a log that cannot be written.
			_, _ = w.Write(line)
		}
	}()
	return b
}

// Write implements io.Writer; it never fails.
func (b *Buffer) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped counts the lines that found no room.
func (b *Buffer) Dropped() uint64 { return b.dropped.Load() }

// Close writes what is left. Nothing may be written after it.
func (b *Buffer) Close() {
	b.closeOnce.Do(func() { close(b.lines) })
	<-b.done
}
