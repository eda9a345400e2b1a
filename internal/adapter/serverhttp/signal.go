package serverhttp

import (
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
)

const (
	// retryAfterHeader is the standard header with the time of the next retry.
	retryAfterHeader = "Retry-After"
)

// recordSignal merges the backpressure signal of a response. A response of another server at the
// same address (421) is ignored, because it says nothing about the intended server.
func (e *exchange) recordSignal(r *http.Response) {
	if r.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	e.signal = e.signal.Merge(ParseSignal(r, e.client.headers, e.request.InstanceID))
}

// ParseSignal returns the backpressure signal of a response. Invalid header values are logged and
// ignored.
func ParseSignal(r *http.Response, headers Headers, server string) (s backpressure.Signal) {
	var err error
	if s.Limit, err = backpressure.ParseLimit(r.Header.Values(headers.Limit)); err != nil {
		logIgnoredSignal(server, headers.Limit, err)
	}
	s.Draining = headers.Draining != "" && slices.Contains(r.Header.Values(headers.Draining), headers.DrainingValue)
	retryAfter := r.Header.Values(retryAfterHeader)
	if r.StatusCode != http.StatusServiceUnavailable || len(retryAfter) == 0 {
		return s
	}
	sentAt, err := http.ParseTime(r.Header.Get("Date"))
	if err != nil {
		sentAt = time.Now()
	}
	if s.Pause, err = backpressure.ParsePause(retryAfter, sentAt); err != nil {
		logIgnoredSignal(server, retryAfterHeader, err)
	}
	return s
}

func logIgnoredSignal(server, field string, err error) {
	klog.V(1).InfoS("invalid backpressure signal of a server ignored", "server", server, "field", field, "error", err.Error())
}
