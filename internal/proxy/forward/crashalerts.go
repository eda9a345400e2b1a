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
	// alertBatchDelay is how long broken exchanges are collected before servers are probed and
	// peers alerted.
	alertBatchDelay = 50 * time.Millisecond
	// alertBytesPerSecond limits the bandwidth of alerts: the loss of a region causes an endless
	// stream of reports.
	alertBytesPerSecond = 16 << 10
	// reportSize is the approximate number of bytes that a report with one or two crashes takes in
	// a message.
	reportSize = 48
)

// quarantineReports returns the reports on requests that crash servers that are due to peers, or
// all reports for a peer that knows none yet.
func (d *Daemon) quarantineReports(all bool) (list []quarantine.Report) {
	d.withKernel(func(k *steering.Kernel, now time.Time) { list = k.QuarantineReports(now, all) })
	return list
}

// runCrashAlerts acts on new suspicions in batches: a crash breaks dozens of exchanges within a
// round trip.
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

// probeAndAlert probes servers that may have crashed, and alerts peers of urgent reports. A broken
// exchange looks alike whether the server crashed or only the connection failed, and the
// registration of a crashed server expires seconds later, while a probe shows within a round trip
// that nothing listens there any more. It returns the size of the alerts in bytes.
func (d *Daemon) probeAndAlert(ctx context.Context) (alertedBytes int) {
	var suspects []routing.Server
	urgent, reportCount := false, 0
	d.withKernel(func(k *steering.Kernel, now time.Time) {
		suspects, urgent = k.ServersToProbe(), k.QuarantineReportsUrgent()
		if urgent {
			reportCount = len(k.QuarantineReports(now, false))
		}
	})
	for _, server := range suspects {
		go d.probeSuspect(ctx, server)
	}
	if !urgent {
		return 0
	}
	return d.gossip.sendAlerts(ctx) * reportCount * reportSize
}

func (d *Daemon) probeSuspect(ctx context.Context, s routing.Server) {
	_, err := d.serverClient.MeasureRoundTrip(ctx, s.Address, rttProbeTimeout)
	if !serverhttp.IsConnectionRefused(err) {
		klog.V(1).InfoS("probe found no crash of server with broken exchanges", "server", s.ID, "error", errorText(err))
		return
	}
	d.withKernel(func(k *steering.Kernel, now time.Time) { k.RecordConnectionRefused(now, s.ID) })
}
