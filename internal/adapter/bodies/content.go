package bodies

import (
	"bytes"
	"io"
)

type (
	// Content is the bytes of a body in pieces. A single buffer that grows would be copied each time, and the
	// copies would take several times the memory of the body.
	Content [][]byte
)

// NewContent returns content of a single piece.
func NewContent(b []byte) Content {
	if len(b) == 0 {
		return nil
	}
	return Content{b}
}

// Len returns the number of bytes.
func (c Content) Len() int {
	n := 0
	for _, piece := range c {
		n += len(piece)
	}
	return n
}

// Reader returns a reader of all bytes.
func (c Content) Reader() io.Reader {
	readers := make([]io.Reader, len(c))
	for i, piece := range c {
		readers[i] = bytes.NewReader(piece)
	}
	return io.MultiReader(readers...)
}

// Bytes returns all bytes, which are copied if there are several pieces.
func (c Content) Bytes() []byte {
	if len(c) == 1 {
		return c[0]
	}
	return bytes.Join(c, nil)
}
