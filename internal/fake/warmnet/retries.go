package warmnet

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

var (
	// retryBudget is the budget of the service, shared by all proxies.
	retryBudget = steering.RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}
)

type (
	// retryLog records when callers sent requests and when further attempts of them reached servers.
	retryLog struct {
		requests, retries []time.Duration
		// seen holds the attempts of callers that have reached a server.
		seen map[*request]bool
		// denied counts the requests for which a proxy found its part of the budget exhausted.
		denied int
	}

	// RetryStats describes the retries of all proxies, including those that have ended.
	RetryStats struct {
		Sent int
		// Denied counts the requests for which a proxy found its part of the budget exhausted.
		Denied int
		// MaxUtilization is the largest share of the allowed retries in any window.
		MaxUtilization float64
	}
)

// scheduleRestarts schedules the times at which all proxies restart.
func (w *simulation) scheduleRestarts() {
	for _, at := range w.scenario.ProxyRestarts {
		w.After(at.Std(), w.restartProxies)
	}
}

// restartProxies replaces all proxies by processes that know nothing of what the earlier ones sent.
// Their requests fail.
func (w *simulation) restartProxies() {
	w.eachProxy(func(k *steering.Kernel) { w.ended[k] = true })
	clear(w.proxies)
	w.startProxies()
}

// isOver reports whether the request's proxy has ended, and records its failure.
func (w *simulation) isOver(req *request) bool {
	if !w.ended[req.kernel] {
		return false
	}
	w.result.Failed++
	return true
}

// recordRequest records an attempt of a caller, which is a request of its own for the budget.
func (l *retryLog) recordRequest(now time.Duration, req *request) {
	l.requests = append(l.requests, now)
	delete(l.seen, req)
}

// recordEvent counts the requests that were denied a retry.
func (l *retryLog) recordEvent(e steering.Event) {
	if e.RetryDenied {
		l.denied++
	}
}

func (l *retryLog) recordArrival(now time.Duration, req *request) {
	if l.seen == nil {
		l.seen = make(map[*request]bool)
	}
	caller := req.firstAttempt()
	if l.seen[caller] {
		l.retries = append(l.retries, now)
	}
	l.seen[caller] = true
}

// firstAttempt returns the request of the caller to which a hedge or a handover belongs.
func (r *request) firstAttempt() *request {
	for {
		switch {
		case r.first != nil:
			r = r.first
		case r.handedOverBy != nil:
			r = r.handedOverBy
		default:
			return r
		}
	}
}

// stats compares the retries of each window with what the budget allows: the requests are those of
// the window, of the one before it, or of the one half a window before it.
func (l *retryLog) stats(end time.Duration) RetryStats {
	out := RetryStats{Sent: len(l.retries), Denied: l.denied}
	for from := time.Duration(0); from < end; from += tickInterval {
		requests := max(countFrom(l.requests, from), countFrom(l.requests, from-retryBudget.Window/2), countFrom(l.requests, from-retryBudget.Window))
		allowed := retryBudget.Ratio*float64(requests) + retryBudget.Slack
		out.MaxUtilization = max(out.MaxUtilization, float64(countFrom(l.retries, from))/allowed)
	}
	return out
}

// countFrom counts the sorted times in the window of the retry budget that begins at from.
func countFrom(times []time.Duration, from time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, from+retryBudget.Window)
	return end - first
}
