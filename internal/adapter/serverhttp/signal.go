package serverhttp

import (
	"net/http"
	"slices"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
)

// hearSignal takes in what a server's answer asks of its senders. An answer from another
// server at the address asks nothing of the one that was meant.
func (e *exchange) hearSignal(r *http.Response) {
	if r.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	e.signal = e.signal.Merge(SignalOf(r.Header, e.client.headers, e.request.Instance))
}

// SignalOf reads what an answer of a server asks. What can't be read is logged and asks
// nothing.
func SignalOf(h http.Header, names Headers, server string) (s backpressure.Signal) {
	var err error
	if s.Limit, err = backpressure.ParseLimit(h.Values(names.Limit)); err != nil {
		klog.V(1).InfoS("signal of a server ignored", "server", server, "field", names.Limit, "error", err.Error())
	}
	s.Leaving = names.Leaving != "" && slices.Contains(h.Values(names.Leaving), names.LeavingValue)
	return s
}
