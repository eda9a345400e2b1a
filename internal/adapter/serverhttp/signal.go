package serverhttp

import (
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
)

const (
	// retryAfterHeader is the standard field for when to come back.
	retryAfterHeader = "Retry-After"
)

// recordSignal takes in what a server's answer asks of its senders. An answer from another
// server at the address asks nothing of the one that was meant.
func (e *exchange) recordSignal(r *http.Response) {
	if r.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	e.signal = e.signal.Merge(ParseSignal(r, e.client.headers, e.request.InstanceID))
}

// ParseSignal reads what an answer of a server asks. What can't be read is logged and asks
// nothing.
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
	klog.V(1).InfoS("signal of a server ignored", "server", server, "field", field, "error", err.Error())
}
