package forward

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumquay/gypsumquay/internal/kernel/directory"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// countsMaxAge is for how long gauges show the same counts.
	countsMaxAge = 100 * time.Millisecond
)

type (
	// proxyMetrics holds the process's metrics. Names follow the Prometheus conventions: base
	// units, and _total for counters.
	proxyMetrics struct {
		set                      *metrics.Set
		serverConnectionsOpened  *metrics.Counter
		strayResponses           *metrics.Counter
		unprovenStatuses         *metrics.Counter
		callerConnectionsRefused *metrics.Counter
		connectionsEvicted       *metrics.Counter
		handoversReceived        *metrics.Counter
		fullCopiesSent           *metrics.Counter
		fullCopiesReceived       *metrics.Counter
		replicaAge               *metrics.Histogram
		storeErasBegun           *metrics.Counter
		linkUtilization          *metrics.Gauge
		cpuUtilization           *metrics.Gauge
		overflowLevel            *metrics.Gauge
		overflowChanges          *metrics.Counter
		requests                 map[requestLabels]*metrics.Counter
		attempts                 map[attemptLabels]*metrics.Counter
		notRun                   map[steering.Proof]*metrics.Counter
		durations                map[string]*metrics.Histogram
	}

	requestLabels struct {
		route, service string
		outcome        steering.Outcome
		reason         steering.Reason
	}

	attemptLabels struct {
		service string
		result  steering.Result
	}
)

func newProxyMetrics() *proxyMetrics {
	set := metrics.NewSet()
	return &proxyMetrics{
		set:                      set,
		serverConnectionsOpened:  set.NewCounter("gypsumquay_server_connections_opened_total"),
		strayResponses:           set.NewCounter("gypsumquay_server_stray_responses_total"),
		unprovenStatuses:         set.NewCounter("gypsumquay_unproven_statuses_replaced_total"),
		callerConnectionsRefused: set.NewCounter("gypsumquay_caller_connections_refused_total"),
		connectionsEvicted:       set.NewCounter("gypsumquay_connections_evicted_total"),
		handoversReceived:        set.NewCounter("gypsumquay_handovers_received_total"),
		fullCopiesSent:           set.NewCounter(`gypsumquay_full_copies_total{direction="sent"}`),
		fullCopiesReceived:       set.NewCounter(`gypsumquay_full_copies_total{direction="received"}`),
		replicaAge:               set.NewHistogram("gypsumquay_store_copy_age_at_exchange_seconds"),
		storeErasBegun:           set.NewCounter("gypsumquay_store_returns_from_older_copy_total"),
		linkUtilization:          set.NewGauge(`gypsumquay_utilization_ratio{resource="link"}`, nil),
		cpuUtilization:           set.NewGauge(`gypsumquay_utilization_ratio{resource="cpu"}`, nil),
		overflowLevel:            set.NewGauge("gypsumquay_overflow_level", nil),
		overflowChanges:          set.NewCounter("gypsumquay_overflow_level_changes_total"),
		requests:                 make(map[requestLabels]*metrics.Counter),
		attempts:                 make(map[attemptLabels]*metrics.Counter),
		notRun:                   make(map[steering.Proof]*metrics.Counter),
		durations:                make(map[string]*metrics.Histogram),
	}
}

// recordEvent counts an event. The caller holds the kernel's lock, which guards the maps.
func (m *proxyMetrics) recordEvent(e steering.Event) {
	if e.Kind != steering.EventRequestEnded {
		m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_events_total{kind=%q}", e.Kind)).Inc()
		return
	}
	m.recordRequest(e)
	m.recordHedge(e)
	m.recordRetries(e)
	if e.From != "" {
		m.handoversReceived.Inc()
	}
	for _, s := range e.Steps {
		switch s.Kind {
		case steering.EventAttemptEnded:
			m.recordAttempt(attemptLabels{e.Service, s.Result})
		case steering.EventHandoverEnded:
			m.recordHandover(s)
		}
	}
}

// recordHandover counts a handover to another proxy. Handovers are rare, so the counter is looked up
// by name.
func (m *proxyMetrics) recordHandover(e steering.Event) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_handovers_sent_total{result=%q,reason=%q}", e.Result.String(), string(e.Reason))).Inc()
}

func (m *proxyMetrics) recordRequest(e steering.Event) {
	labels := requestLabels{e.Route, e.Service, e.Outcome, e.Reason}
	counter := m.requests[labels]
	if counter == nil {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_requests_total{route=%q,service=%q,outcome=%q,reason=%q}",
			e.Route, e.Service, e.Outcome.String(), string(e.Reason)))
		m.requests[labels] = counter
	}
	counter.Inc()
	if e.Outcome == steering.OutcomeNotRun {
		m.recordNotRun(e.Proof)
	}
	duration := m.durations[e.Service]
	if duration == nil {
		duration = m.set.GetOrCreateHistogram(fmt.Sprintf("gypsumquay_request_duration_seconds{service=%q}", e.Service))
		m.durations[e.Service] = duration
	}
	duration.Update(e.Duration.Seconds())
}

// recordNotRun counts a request that was reported as not run, by what proves it.
func (m *proxyMetrics) recordNotRun(p steering.Proof) {
	counter := m.notRun[p]
	if counter == nil {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_not_run_total{proof=%q}", string(p)))
		m.notRun[p] = counter
	}
	counter.Inc()
}

func (m *proxyMetrics) recordAttempt(labels attemptLabels) {
	counter := m.attempts[labels]
	if counter == nil {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_attempts_total{service=%q,result=%q}", labels.service, labels.result.String()))
		m.attempts[labels] = counter
	}
	counter.Inc()
}

// recordHedge counts the hedge of a request. Hedges are rare, so the counters are looked up by name.
func (m *proxyMetrics) recordHedge(e steering.Event) {
	if e.Hedge == steering.HedgeNone {
		return
	}
	for _, outcome := range []string{"sent", string(e.Hedge)} {
		m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_hedges_total{service=%q,outcome=%q}", e.Service, outcome)).Inc()
	}
}

// recordRetries counts the retries that the retry budget granted or denied a request.
func (m *proxyMetrics) recordRetries(e steering.Event) {
	if e.RetriesCharged > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_retries_total{service=%q,budget=\"granted\"}", e.Service)).Add(e.RetriesCharged)
	}
	if e.RetryDenied {
		m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_retries_total{service=%q,budget=\"denied\"}", e.Service)).Inc()
	}
}

// recordUtilization shows the utilization in the last second.
func (m *proxyMetrics) recordUtilization(u utilization) {
	m.linkUtilization.Set(u.link)
	m.cpuUtilization.Set(u.cpu)
}

// recordOverflowLevel shows a change of this proxy's overflow level.
func (m *proxyMetrics) recordOverflowLevel(l directory.Level) {
	m.overflowLevel.Set(float64(l))
	m.overflowChanges.Inc()
}

// peerBytes returns the functions that count the bytes of a connection to a peer across a border.
func (m *proxyMetrics) peerBytes(b border) (sent, received func(int)) {
	return m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_peer_sent_bytes_total{border=%q}", string(b))).Add,
		m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_peer_received_bytes_total{border=%q}", string(b))).Add
}

// recordPeerMessage counts a message to a peer.
func (m *proxyMetrics) recordPeerMessage(kind peerMessageKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_peer_messages_total{kind=%q}", string(kind))).Inc()
}

// recordStoreCall counts a call to the platform's store.
func (m *proxyMetrics) recordStoreCall(operation string, err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_store_calls_total{operation=%q,failed=\"%t\"}", operation, err != nil)).Inc()
}

// recordRejectedEntry counts an invalid entry of the store.
func (m *proxyMetrics) recordRejectedEntry(kind string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_entries_refused_total{kind=%q}", kind)).Inc()
}

// recordServerRemoval counts a removed registration of a server that this proxy learned of.
func (m *proxyMetrics) recordServerRemoval(source string, tentative bool) {
	if source != storeSource {
		source = "peer"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_server_removals_total{source=%q,tentative=%q}", source, strconv.FormatBool(tentative))).Inc()
}

// registerGauges adds the gauges, which are computed when the metrics are read.
func (m *proxyMetrics) registerGauges(d *Daemon, dropped func() uint64) {
	counts := cachedCounts(d)
	for name, read := range map[string]func(steering.Counts) int{
		"gypsumquay_configuration_version":   func(c steering.Counts) int { return int(c.Version) },
		"gypsumquay_in_flight_requests":      func(c steering.Counts) int { return c.InFlight },
		"gypsumquay_live_proxies":            func(c steering.Counts) int { return c.Proxies },
		"gypsumquay_backend_servers":         func(c steering.Counts) int { return c.Servers },
		"gypsumquay_limited_servers":         func(c steering.Counts) int { return c.LimitedServers },
		"gypsumquay_pausing_servers":         func(c steering.Counts) int { return c.PausedServers },
		"gypsumquay_leaving_servers":         func(c steering.Counts) int { return c.DrainingServers },
		"gypsumquay_regions_without_proxies": func(c steering.Counts) int { return c.RegionsWithoutProxies },
		"gypsumquay_cut_off_from_servers":    func(c steering.Counts) int { return c.CutOff },
		"gypsumquay_condemned_works":         func(c steering.Counts) int { return c.Quarantined },
	} {
		m.set.NewGauge(name, func() float64 { return float64(read(counts())) })
	}
	m.set.NewGauge("gypsumquay_store_copy_age_seconds", func() float64 { return d.replica.age().Seconds() })
	m.set.NewGauge("gypsumquay_log_lines_dropped", func() float64 { return float64(dropped()) })
}

// cachedCounts returns a function that counts the kernel's state once for all gauges of a scrape.
func cachedCounts(d *Daemon) func() steering.Counts {
	var mu sync.Mutex
	var cached steering.Counts
	var countedAt time.Time
	return func() steering.Counts {
		mu.Lock()
		defer mu.Unlock()
		if now := d.now(); countedAt.IsZero() || now.Sub(countedAt) > countsMaxAge {
			d.withKernel(func(k *steering.Kernel, now time.Time) { cached = k.Counts(now) })
			countedAt = now
		}
		return cached
	}
}
