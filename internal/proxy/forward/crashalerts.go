package forward

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// alertBatchDelay is how long what breaks is collected before servers are dialled and
	// peers told.
	alertBatchDelay = 50 * time.Millisecond
	// alertBytesPerSecond is how many bytes a second alerts may take: a region that is lost has
	// news without end.
	alertBytesPerSecond = 16 << 10
	// reportSize is what a work takes in a message, with one end or two.
	reportSize = 48
)

// quarantineReports are what a peer should hear of work that ends servers.
func (d *Daemon) quarantineReports(all bool) (list []quarantine.Report) {
	d.withKernel(func(k *steering.Kernel, now time.Time) { list = k.Suspicions(now, all) })
	return list
}

// runCrashAlerts follows suspicions as soon as there are any, but not more often than
// news can be collected: an end breaks dozens of exchanges within a round trip.
func (d *Daemon) runCrashAlerts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.suspicionsChanged:
			sleep.For(ctx, alertBatchDelay)
			alertedBytes := d.probeAndAlert(ctx)
			sleep.For(ctx, time.Duration(alertedBytes)*time.Second/alertBytesPerSecond)
		}
	}
}

// probeAndAlert finds out which servers have ended with requests, and tells others
// what follows. Exchanges that break look alike whether the server has ended or only a
// connection, and its registration runs out seconds later; where nothing listens any
// more is known after a round trip. It tells how many bytes the alerts take.
func (d *Daemon) probeAndAlert(ctx context.Context) (alertedBytes int) {
	var suspects []routing.Server
	urgent, reportCount := false, 0
	d.withKernel(func(k *steering.Kernel, now time.Time) {
		suspects, urgent = k.Doubted(), k.SuspicionsUrgent()
		if urgent {
			reportCount = len(k.Suspicions(now, false))
		}
	})
	for _, s := range suspects {
		go d.probeSuspect(ctx, s)
	}
	if !urgent {
		return 0
	}
	return d.gossip.sendAlerts(ctx) * reportCount * reportSize
}

func (d *Daemon) probeSuspect(ctx context.Context, s routing.Server) {
	_, err := d.serverClient.Measure(ctx, s.Address, rttProbeTimeout)
	if !serverhttp.Refusing(err) {
		klog.V(1).InfoS("a server at which exchanges broke has not ended, as far as is known", "server", s.ID, "error", errorText(err))
		return
	}
	d.withKernel(func(k *steering.Kernel, now time.Time) { k.Refusing(now, s.ID) })
}
