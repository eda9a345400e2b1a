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

	// meters holds the process's metrics. Names follow the Prometheus habit:
	// base units, and _total for counters.
	meters struct {
		set      *metrics.Set
		sent     *metrics.Counter
		received *metrics.Counter
		events   map[core.EventKind]*metrics.Counter
	}
)

func newMeters() *meters {
	set := metrics.NewSet()
	return &meters{
		set:      set,
		sent:     set.NewCounter("gypsumquay_peer_sent_bytes_total"),
		received: set.NewCounter("gypsumquay_peer_received_bytes_total"),
		events:   make(map[core.EventKind]*metrics.Counter),
	}
}

func (m *meters) peerSent(n int)     { m.sent.Add(n) }
func (m *meters) peerReceived(n int) { m.received.Add(n) }

func (m *meters) platformCall(operation string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_platform_calls_total{operation=%q}", operation)).Inc()
}

// event counts by kind. The driver's lock is held, so the map needs none.
func (m *meters) event(e core.Event) {
	counter := m.events[e.Kind]
	if counter == nil {
		counter = m.set.GetOrCreateCounter(fmt.Sprintf("gypsumquay_events_total{kind=%q}", e.Kind))
		m.events[e.Kind] = counter
	}
	counter.Inc()
}

func (m *meters) request(service string, r caller.Result, took time.Duration) {
	if r.Reason == caller.ReasonNoService {
		// The name is the caller's own invention; as a label it would let
		// anyone fill the memory with time series.
		service = ""
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(
		"gypsumquay_requests_total{service=%q,outcome=%q,reason=%q}", service, r.Outcome, r.Reason)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf(
		"gypsumquay_request_duration_seconds{service=%q}", service)).Update(took.Seconds())
}

// watch adds gauges that read the kernel when asked.
func (m *meters) watch(d *driver.Driver) {
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
