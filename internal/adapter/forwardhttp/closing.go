package forwardhttp

import (
	"bytes"
	"cmp"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

type (
	// bufferedResponse is a short response that is written later.
	bufferedResponse struct {
		header http.Header
		status int
		body   bytes.Buffer
	}
)

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = cmp.Or(b.status, status) }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(p []byte) (int, error) {
	b.WriteHeader(http.StatusOK)
	return b.body.Write(p)
}

// respondAndClose writes a short response to a request whose body was not read, and closes the connection.
// net/http would read a part of the body and then wait, and a crowd would hold a goroutine for each of its
// connections, also of those that are closed meanwhile.
func respondAndClose(w http.ResponseWriter, r *http.Request, write func(http.ResponseWriter)) {
	b := &bufferedResponse{header: make(http.Header)}
	write(b)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		klog.InfoS("can't take over the connection of a client", "error", err.Error())
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	b.header.Del("Content-Length")
	response := http.Response{
		StatusCode: cmp.Or(b.status, http.StatusOK), ProtoMajor: 1, ProtoMinor: 1, Request: r, Close: true,
		Header: b.header, Body: io.NopCloser(&b.body), ContentLength: int64(b.body.Len()),
	}
	if conn.SetWriteDeadline(time.Now().Add(rejectionTimeout)) == nil {
		_ = response.Write(conn)
	}
}
