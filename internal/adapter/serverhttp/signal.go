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
func ParseSignal(r *http.Response, names Headers, server string) (s backpressure.Signal) {
	var err error
	if s.Limit, err = backpressure.ParseLimit(r.Header.Values(names.Limit)); err != nil {
		logIgnoredSignal(server, names.Limit, err)
	}
	s.Draining = names.Draining != "" && slices.Contains(r.Header.Values(names.Draining), names.DrainingValue)
	pauses := r.Header.Values(retryAfterHeader)
	if r.StatusCode != http.StatusServiceUnavailable || len(pauses) == 0 {
		return s
	}
	made, err := http.ParseTime(r.Header.Get("Date"))
	if err != nil {
		made = time.Now()
	}
	if s.Pause, err = backpressure.ParsePause(pauses, made); err != nil {
		logIgnoredSignal(server, retryAfterHeader, err)
	}
	return s
}

func logIgnoredSignal(server, field string, err error) {
	klog.V(1).InfoS("signal of a server ignored", "server", server, "field", field, "error", err.Error())
}
