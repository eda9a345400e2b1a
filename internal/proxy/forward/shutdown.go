package forward

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// exitMargin is the end of the grace time that is kept free, so that the
	// process leaves by itself before it is killed.
	exitMargin = 400 * time.Millisecond
	// responseMargin is how long before the process leaves the last request is
	// given up on, so that its answer is still written and its end logged.
	responseMargin = 100 * time.Millisecond
	// closeIdleInterval is how long connections that are not idle yet are left alone.
	closeIdleInterval = 5 * time.Millisecond
	// acceptRatio is the part of the grace time in which new requests are
	// still taken: callers keep an answer of the directory for its lifetime.
	acceptRatio = 0.5
)

// stop ends the process without cutting a request: it says that it is not
// ready, is no longer named to callers, serves those that still come, and
// closes connections only when they are idle.
func (d *Daemon) stop(ctx context.Context) {
	began, grace := d.now(), d.bounds().GracePeriod
	end := began.Add(grace - exitMargin)
	klog.InfoS("stopping", "grace", grace.String())
	close(d.stopping)
	d.withKernel(func(k *steering.Kernel, _ time.Time) { k.Leave(end.Add(-responseMargin)) })
	d.gossip.spread(ctx, d.replica.revision())
	// A store that is cut off lets this call hang for over a second, which the
	// requests in progress would lack at the end.
	go d.registrar.deregister(ctx)
	sleep.For(ctx, time.Duration(acceptRatio*float64(grace)))
	limited, cancel := context.WithTimeout(ctx, end.Sub(d.now()))
	defer cancel()
	if err := d.drainConnections(limited); err != nil {
		// Only requests whose time-out is longer than the grace time can be.
		inFlight := 0
		d.withKernel(func(k *steering.Kernel, now time.Time) { inFlight = k.Status(now).InFlight })
		klog.InfoS("requests were still in progress at the end of the grace time", "requests", inFlight, "error", err.Error())
	}
	klog.InfoS("stopped", "took", d.now().Sub(began).String())
}

// drainConnections takes no more connections, ends those that are idle, and waits for the others.
func (d *Daemon) drainConnections(ctx context.Context) error {
	if err := d.callerListener.Close(); err != nil {
		klog.InfoS("callers' listener not closed", "error", err.Error())
	}
	for d.callerListener.CloseIdle() > 0 {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep.For(ctx, closeIdleInterval)
	}
	return nil
}
