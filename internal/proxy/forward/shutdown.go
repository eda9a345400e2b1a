package forward

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/shutdown"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// closeIdleInterval is the pause between attempts to close connections that were busy.
	closeIdleInterval = 5 * time.Millisecond
)

// stop shuts the proxy down. The proxy reports that it isn't ready, is removed from lookup responses,
// serves the requests that still arrive and can end in time, rejects the others, and closes connections
// only when they are idle.
func (d *Daemon) stop(ctx context.Context) {
	plan := shutdown.Plan{BegunAt: d.now(), Grace: d.bounds().GracePeriod}
	klog.InfoS("stopping", "grace", plan.Grace.String())
	close(d.stopping)
	d.withKernel(func(k *steering.Kernel, _ time.Time) { k.BeginShutdown(plan) })
	// Without this, requests that began before the shutdown would be in progress until the process exits, and
	// their callers would see a closed connection instead of a response.
	interrupt := time.AfterFunc(plan.InterruptAt().Sub(d.now()), d.interruptRequests)
	defer interrupt.Stop()
	d.gossip.spread(ctx, d.replica.revision())
	// If the store is unreachable, this call hangs for over a second, which the requests in
	// progress would lack at the end.
	go d.registrar.deregister(ctx)
	sleep.For(ctx, plan.ListenUntil().Sub(d.now()))
	drainCtx, cancel := context.WithTimeout(ctx, plan.ExitAt().Sub(d.now()))
	defer cancel()
	if err := d.drainConnections(drainCtx); err != nil {
		klog.InfoS("grace period ended with open connections", "connections", d.closeIdleConnections(), "requests", d.requestsInFlight(), "error", err.Error())
	}
	klog.InfoS("stopped", "took", d.now().Sub(plan.BegunAt).String())
}

// interruptRequests ends the requests that are still in progress with a response.
func (d *Daemon) interruptRequests() {
	klog.InfoS("interrupting requests", "requests", d.requestsInFlight())
	d.cancelRequests()
}

func (d *Daemon) requestsInFlight() (n int) {
	d.withKernel(func(k *steering.Kernel, now time.Time) { n = k.Status(now).InFlight })
	return n
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
