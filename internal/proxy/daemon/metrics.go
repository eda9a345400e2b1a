package daemon

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/proxy/driver"
)

type (

	// processMetrics holds the metrics of the process. Names follow the Prometheus conventions:
	// base units, and the suffix _total for counters.
	processMetrics struct {
		set               *metrics.Set
		peerSentBytes     *metrics.Counter
		peerReceivedBytes *metrics.Counter
		// connectionsRefused counts connections beyond the limit of their address, connectionsEvicted those
		// that were closed because their clients had stalled and others needed the room.
		connectionsRefused, connectionsEvicted *metrics.Counter

		eventCounters map[core.EventKind]*metrics.Counter
	}
)

func newProcessMetrics() *processMetrics {
	set := metrics.NewSet()
	return &processMetrics{
		set:                set,
		peerSentBytes:      set.NewCounter("gypsumquay_peer_sent_bytes_total"),
		peerReceivedBytes:  set.NewCounter("gypsumquay_peer_received_bytes_total"),
		connectionsRefused: set.NewCounter("gypsumquay_connections_refused_total"),
		connectionsEvicted: set.NewCounter("gypsumquay_connections_evicted_total"),
		eventCounters:      make(map[core.EventKind]*metrics.Counter),
	}
}

func (m *processMetrics) addPeerSent(n int)     { m.peerSentBytes.Add(n) }
func (m *processMetrics) addPeerReceived(n int) { m.peerReceivedBytes.Add(n) }

func (m *processMetrics) countPlatformCall(operation string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_platform_calls_total{operation=%q}", operation)).Inc()
}

// countEvent counts an event by its kind. The map needs no lock because the driver's lock is held.
func (m *processMetrics) countEvent(e core.Event) {
	counter := m.eventCounters[e.Kind]
	if counter == nil {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_events_total{kind=%q}", e.Kind))
		m.eventCounters[e.Kind] = counter
	}
	counter.Inc()
}

func (m *processMetrics) observeRequest(service string, r caller.Result, took time.Duration) {
	if r.Reason == caller.ReasonNoService {
		// The caller chose a service name that does not exist. As a label value, such names would
		// let any caller create time series without limit and exhaust the memory.
		service = ""
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(
		"gypsumquay_requests_total{service=%q,outcome=%q,reason=%q}", service, r.Outcome, r.Reason)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(
		"gypsumquay_request_duration_seconds{service=%q}", service)).Update(took.Seconds())
}

// registerGauges registers gauges that read the kernel when the metrics are collected.
func (m *processMetrics) registerGauges(d *driver.Driver) {
	gauge := func(name string, read func(core.Status) float64) {
		m.set.NewGauge(name, func() float64 {
			var s core.Status
			d.WithKernel(func(k *core.Kernel, now time.Time) { s = k.Status(now) })
			return read(s)
		})
	}
	gauge("gypsumquay_bundle_version", func(s core.Status) float64 { return float64(s.Bundle) })
	gauge("gypsumquay_assignment_version", func(s core.Status) float64 { return float64(s.Assignment) })
	gauge("gypsumquay_in_flight_requests", func(s core.Status) float64 { return float64(s.InFlight) })
	gauge("gypsumquay_token_records", func(s core.Status) float64 { return float64(s.Records) })
	gauge("gypsumquay_quota_slots", func(s core.Status) float64 { return float64(s.Slots) })
}
