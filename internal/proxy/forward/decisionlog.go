package forward

import (
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// sampleEveryNth is how many successful requests there are for each one that is logged.
	// Failed, slow, rejected and retried requests are always logged, within the limits below.
	sampleEveryNth = 200
	// maxDetailedPerSecond bounds the requests that are logged with each decision: a failing
	// group of servers must not make logging the main load. At 300 bytes a line and four lines a
	// request this is 120 KB a second.
	maxDetailedPerSecond = 100
	// maxSummariesPerSecond bounds the further requests that are logged with their last line only,
	// which lists the attempted servers: another 120 KB a second. Requests beyond both are counted
	// by outcome.
	maxSummariesPerSecond = 400
	// maxChangesPerSecond bounds the changes of single servers and proxies that are logged: a proxy
	// that starts in a large fleet learns of thousands at once. Changes beyond it are counted by
	// kind.
	maxChangesPerSecond = 100
	// omittedInterval is how often the numbers of omitted requests and changes are logged.
	omittedInterval       = 10 * time.Second
	omittedMessage        = "requests left out of the log"
	omittedChangesMessage = "changes left out of the log"
	// outcomeLate labels requests whose response came after the route's target latency.
	outcomeLate = "late"
	// maxFingerprintsPerLine bounds the request fingerprints listed in one line.
	maxFingerprintsPerLine = 16
	// eventRingSize is how many events are kept for the operators' API.
	eventRingSize = 4096
	// failureRingSize is how many failed requests that are not logged are kept for the operators'
	// API. They take at most 1 MB.
	failureRingSize = 4096
)

type (
	// decisionLog records the kernel's events: as log lines, as metrics, and in memory for the
	// operators' API.
	decisionLog struct {
		vm      string
		now     func() time.Time
		metrics *proxyMetrics

		mu            sync.Mutex
		ring          *core.RingBuffer[steeringhttp.Event]
		failures      *core.RingBuffer[unloggedFailure]
		served        uint64
		windowStart   time.Time
		detailedCount int
		summaryCount  int
		changeCount   int
		// omitted counts the requests that weren't logged, by outcome label, and omittedChanges the
		// changes that weren't, by kind.
		omitted           map[string]int
		omittedChanges    map[string]int
		omittedReportedAt time.Time
	}

	// unloggedFailure is a failed request beyond the limits of the log.
	unloggedFailure struct {
		at                      time.Time
		request, route, service string
		outcome                 steering.Outcome
		reason                  steering.Reason
		duration, retryAfter    time.Duration
		attempt                 int
	}

	// logDetail is how much of a request is logged.
	logDetail int
)

const (
	logNothing logDetail = iota
	logSummary
	logAllSteps
)

func newDecisionLog(vm string, now func() time.Time, m *proxyMetrics) *decisionLog {
	return &decisionLog{vm: vm, now: now, metrics: m, ring: core.NewRingBuffer[steeringhttp.Event](eventRingSize), failures: core.NewRingBuffer[unloggedFailure](failureRingSize), omitted: make(map[string]int), omittedChanges: make(map[string]int), omittedReportedAt: now()}
}

// handleEvent records an event of the kernel.
func (j *decisionLog) handleEvent(e steering.Event) {
	j.metrics.recordEvent(e)
	if isServerChange(e) && !j.allowChange(string(e.Kind)) {
		return
	}
	if e.Kind != steering.EventRequestEnded {
		j.record(e)
		klog.InfoS(string(e.Kind), "service", e.Service, "server", e.Server, "failure-domain", e.Domain, "region", e.Region, "elsewhere", e.CallersElsewhere, "route", e.Route, "share", e.Share, "measured", e.Measured, "cut-off", e.CutOff,
			"configuration", e.Version, "draining", e.Draining, "cause", e.Result.String(), "for", e.Duration.String(), "limit", e.Limit.String(), "work", e.Fingerprint.String(), "ends", e.Crashes, "works", formatFingerprints(e.RunningFingerprints))
		return
	}
	wanted := j.chooseDetail(e)
	if wanted == logNothing {
		j.keepFailure(e)
		return
	}
	if wanted == logAllSteps {
		for _, s := range e.Steps {
			s.Request, s.Route, s.Service, s.Object, s.Fingerprint, s.Version = e.Request, e.Route, e.Service, e.Object, e.Fingerprint, e.Version
			j.record(s)
			j.writeStep(s, e.At.Sub(s.At))
		}
	}
	j.record(e)
	klog.InfoS(string(e.Kind), "request", e.Request, "route", e.Route, "account", e.Account, "work", e.Fingerprint.String(), "configuration", e.Version,
		"from", e.From, "connection-uses", e.ConnectionUses, "since-shutdown", e.SinceShutdown.String(), "outcome", e.Outcome.String(), "proof", string(e.Proof), "reason", string(e.Reason), "took", e.Duration.String(), "attempts", e.Attempt, "tried", attemptedServers(e.Steps), "hedge", string(e.Hedge),
		"come-back", e.RetryAfter.String(), "pressure", e.Pressure, "wait", e.ExpectedWait.String(), "wait-limit", e.WaitLimit.String(), "shed-ratio", e.ShedRatio, "account-shed-ratio", e.AccountShedRatio, "target", e.Target.String(), "cause", string(e.Cause), "server-state", string(e.State),
		"retries-charged", e.RetriesCharged, "retry-denied", e.RetryDenied, "retries", e.RetryBudget.Retries, "retries-allowed", e.RetryBudget.Allowed, "slack-share", e.RetryBudget.SlackShare)
}

// attemptedServers lists the servers and proxies that a request was sent to, with the results.
func attemptedServers(steps []steering.Event) string {
	var list []string
	for _, s := range steps {
		switch s.Kind {
		case steering.EventAttemptEnded:
			list = append(list, s.Server+" "+s.Result.String())
		case steering.EventHandoverEnded:
			list = append(list, "handed over to "+s.Server+" "+s.Result.String())
		}
	}
	return strings.Join(list, ", ")
}

// writeStep logs a decision about a request that ended the given time later.
func (j *decisionLog) writeStep(s steering.Event, ago time.Duration) {
	switch s.Kind {
	case steering.EventHandedOver, steering.EventHandoverEnded:
		klog.InfoS(string(s.Kind), "request", s.Request, "work", s.Fingerprint.String(), "proxy", s.Server, "attempt", s.Attempt,
			"result", s.Result.String(), "proof", string(s.Proof), "reason", string(s.Reason), "took", s.Duration.String(), "ago", ago.String(), "error", errorText(s.Err))
		return
	case steering.EventRequestSent:
		klog.InfoS(string(s.Kind), "request", s.Request, "route", s.Route, "configuration", s.Version, "service", s.Service,
			"server", s.Server, "failure-domain", s.Domain, "object", s.Object, "work", s.Fingerprint.String(), "home-rank", s.HomeRank, "warm", s.Warm, "attempt", s.Attempt, "hedge", s.IsHedge,
			"expected", s.Expected.String(), "load", s.Load, "wait", s.ExpectedWait.String(), "server-state", string(s.State), "load-age", formatAge(s.LoadAge), "work-factor", s.WorkFactor,
			"retries", s.RetryBudget.Retries, "retries-allowed", s.RetryBudget.Allowed, "slack-share", s.RetryBudget.SlackShare, "ago", ago.String())
		return
	}
	klog.InfoS(string(s.Kind), "request", s.Request, "work", s.Fingerprint.String(), "server", s.Server, "attempt", s.Attempt, "hedge", s.IsHedge, "result", s.Result.String(), "proof", string(s.Proof),
		"expected", s.Expected.String(), "took", s.Duration.String(), "server-load", s.Load, "work-factor", s.WorkFactor, "connection", s.Connection, "connection-uses", s.ConnectionUses, "dial", s.DialTime.String(), "ago", ago.String(), "error", errorText(s.Err))
}

// formatFingerprints lists request fingerprints for the log, up to maxFingerprintsPerLine.
func formatFingerprints(fingerprints []quarantine.Fingerprint) string {
	list := make([]string, 0, maxFingerprintsPerLine)
	for _, w := range fingerprints[:min(len(fingerprints), maxFingerprintsPerLine)] {
		list = append(list, w.String())
	}
	return strings.Join(list, ", ")
}

// chooseDetail decides how much of a request is logged, and counts the omitted ones.
func (j *decisionLog) chooseDetail(e steering.Event) logDetail {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.startWindow()
	// Hedges are as frequent as slow runs. They are counted and would fill the log.
	retried := e.Attempt > 1 && e.Hedge == steering.HedgeNone
	noteworthy := e.Reason != steering.ReasonNone || retried || isLate(e)
	j.served++
	switch {
	case !noteworthy && j.served%sampleEveryNth != 0:
	case j.detailedCount < maxDetailedPerSecond:
		j.detailedCount++
		return logAllSteps
	case j.summaryCount < maxSummariesPerSecond:
		j.summaryCount++
		return logSummary
	}
	j.omitted[outcomeLabel(e)]++
	return logNothing
}

// isServerChange reports whether an event is a change of the registration of a single server.
func isServerChange(e steering.Event) bool {
	return e.Kind == steering.EventServerChanged || e.Kind == steering.EventServerGone
}

// allowChange reports whether one more change of a server or proxy may be logged now, and counts it
// by kind if not.
func (j *decisionLog) allowChange(kind string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.startWindow()
	if j.changeCount < maxChangesPerSecond {
		j.changeCount++
		return true
	}
	j.omittedChanges[kind]++
	return false
}

// startWindow resets the counts of lines each second. j.mu must be held.
func (j *decisionLog) startWindow() {
	now := j.now()
	if now.Sub(j.windowStart) >= time.Second {
		j.windowStart, j.detailedCount, j.summaryCount, j.changeCount = now, 0, 0, 0
	}
	j.reportOmitted(now)
}

// isLate reports whether a request took longer than its route's target.
func isLate(e steering.Event) bool { return e.Target > 0 && e.Duration > e.Target }

// outcomeLabel names how a request ended, for the counts of omitted requests.
func outcomeLabel(e steering.Event) string {
	switch {
	case e.Reason != steering.ReasonNone:
		return string(e.Reason)
	case isLate(e):
		return outcomeLate
	}
	return e.Outcome.String()
}

func (j *decisionLog) reportOmitted(now time.Time) {
	if now.Sub(j.omittedReportedAt) < omittedInterval {
		return
	}
	klog.InfoS(omittedMessage, "counts", j.omitted, "served", j.served)
	clear(j.omitted)
	if len(j.omittedChanges) > 0 {
		klog.InfoS(omittedChangesMessage, "counts", j.omittedChanges)
		clear(j.omittedChanges)
	}
	j.omittedReportedAt = now
}

// record keeps an event for the operators' API.
func (j *decisionLog) record(e steering.Event) {
	if e.At.IsZero() {
		e.At = j.now()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ring.Add(steeringhttp.NewEvent(j.vm, e))
}

// keepFailure keeps the end of a failed request that is not logged, so that its cause can be told.
func (j *decisionLog) keepFailure(e steering.Event) {
	if e.Reason == steering.ReasonNone {
		return
	}
	f := unloggedFailure{
		at: e.At, request: e.Request, route: e.Route, service: e.Service, outcome: e.Outcome, reason: e.Reason,
		duration: e.Duration, retryAfter: e.RetryAfter, attempt: e.Attempt,
	}
	if f.at.IsZero() {
		f.at = j.now()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failures.Add(f)
}

// event returns the failure as an event of the operators' API.
func (f unloggedFailure) event(vm string) steeringhttp.Event {
	return steeringhttp.NewEvent(vm, steering.Event{
		Kind: steering.EventRequestEnded, At: f.at, Request: f.request, Route: f.route, Service: f.service, Outcome: f.outcome, Reason: f.reason,
		Duration: f.duration, RetryAfter: f.retryAfter, Attempt: f.attempt,
	})
}

// events lists the kept events of one request, or all if request is empty, in the order of their times.
func (j *decisionLog) events(request string) []steeringhttp.Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var list []steeringhttp.Event
	for _, e := range j.ring.All() {
		if request == "" || e.Request == request {
			list = append(list, e)
		}
	}
	for _, f := range j.failures.All() {
		if request == "" || f.request == request {
			list = append(list, f.event(j.vm))
		}
	}
	slices.SortStableFunc(list, func(a, b steeringhttp.Event) int { return a.At.Compare(b.At) })
	return list
}

// formatAge formats an age for the log; a negative one means that there is none.
func formatAge(d time.Duration) string {
	if d < 0 {
		return "none"
	}
	return d.String()
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
