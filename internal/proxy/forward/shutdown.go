package forward

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// exitMargin is reserved at the end of the grace period, so that the process exits before it
	// is killed.
	exitMargin = 400 * time.Millisecond
	// responseMargin is how long before the exit the last requests are failed, so that their
	// responses can still be written and logged.
	responseMargin = 100 * time.Millisecond
	// closeIdleInterval is the pause between attempts to close connections that were busy.
	closeIdleInterval = 5 * time.Millisecond
	// acceptRatio is the fraction of the grace period in which new requests are still accepted:
	// callers use a cached lookup response until its TTL expires.
	acceptRatio = 0.5
)

// stop shuts the proxy down without interrupting requests. The proxy reports that it isn't ready,
// is removed from lookup responses, serves the requests that still arrive, and closes connections
// only when they are idle.
func (d *Daemon) stop(ctx context.Context) {
	start, grace := d.now(), d.bounds().GracePeriod
	deadline := start.Add(grace - exitMargin)
	klog.InfoS("stopping", "grace", grace.String())
	close(d.stopping)
	d.withKernel(func(k *steering.Kernel, _ time.Time) { k.BeginShutdown(deadline.Add(-responseMargin)) })
	d.gossip.spread(ctx, d.replica.revision())
	// If the store is unreachable, this call hangs for over a second, which the requests in
	// progress would lack at the end.
	go d.registrar.deregister(ctx)
	sleep.For(ctx, time.Duration(acceptRatio*float64(grace)))
	drainCtx, cancel := context.WithTimeout(ctx, deadline.Sub(d.now()))
	defer cancel()
	if err := d.drainConnections(drainCtx); err != nil {
		// Only requests with a timeout longer than the grace period can still be in progress.
		inFlight := 0
		d.withKernel(func(k *steering.Kernel, now time.Time) { inFlight = k.Status(now).InFlight })
		klog.InfoS("grace period ended with requests in progress", "requests", inFlight, "error", err.Error())
	}
	klog.InfoS("stopped", "took", d.now().Sub(start).String())
}

// closeIdleConnections closes the idle connections of callers and of other proxies, and returns how
// many are left.
func (d *Daemon) closeIdleConnections() (remaining int) {
	for _, l := range d.requestListeners {
		remaining += l.CloseIdleConnections()
	}
	return remaining
}

// drainConnections stops accepting connections, closes idle ones, and waits for the others to
// become idle.
func (d *Daemon) drainConnections(ctx context.Context) error {
	for _, l := range d.requestListeners {
		if err := l.Close(); err != nil {
			klog.InfoS("closing a listener for requests failed", "address", l.Addr().String(), "error", err.Error())
		}
	}
	for d.closeIdleConnections() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep.For(ctx, closeIdleInterval)
	}
	return nil
}
