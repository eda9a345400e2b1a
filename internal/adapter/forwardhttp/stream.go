package forwardhttp

import (
	"net/http"
	"strconv"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	// responseStream writes a long response to the caller while it arrives from the server. A
	// response that is read completely first passes the VM's link twice, one after the other.
	responseStream struct {
		response *serverhttp.Response
		done     chan error
	}
)

// start writes the response's header and begins to write its body. The response is released by
// endStream.
func (t *responseStream) start(s *Server, w http.ResponseWriter, r *http.Request, response *serverhttp.Response) {
	t.response, t.done = response, make(chan error, 1)
	s.closeConnectionIf(s.IsStopping(), w, r)
	copyResponseHeader(w, response)
	describeToPeer(w, r, steering.Decision{}, response)
	w.Header().Set("Content-Length", strconv.Itoa(response.Stream.Len()))
	go func() {
		w.WriteHeader(response.Status)
		t.done <- response.Stream.WriteTo(w, responseTimeout)
	}()
}

func (t *responseStream) started() bool { return t.response != nil }

// endStream waits until the response is written. If the server broke it off, it closes the caller's
// connection, so that the part that was written does not look complete.
func (s *Server) endStream(r *http.Request, t *responseStream, done result) {
	err := <-t.done
	t.response.Release()
	if done.decision.ReturnResponse && err == nil {
		return
	}
	pipelineOf(r.Context()).stopStarting()
	text := ""
	if err != nil {
		text = err.Error()
	}
	klog.InfoS("response broken off", "request", s.requestName(r), "reason", done.decision.Reason, "length", t.response.Stream.Len(), "error", text)
	panic(http.ErrAbortHandler)
}
