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
	// collectFor is how long what breaks is collected before servers are dialled and
	// peers told.
	collectFor = 50 * time.Millisecond
	// alertBytes is how many bytes a second alerts may take: a region that is lost has
	// news without end.
	alertBytes = 16 << 10
	// reportBytes is what a work takes in a message, with one end or two.
	reportBytes = 48
)

// suspicions are what a peer should hear of work that ends servers.
func (d *Daemon) suspicions(all bool) (list []quarantine.Report) {
	d.do(func(k *steering.Kernel, now time.Time) { list = k.QuarantineReports(now, all) })
	return list
}

// watchSuspicions follows suspicions as soon as there are any, but not more often than
// news can be collected: an end breaks dozens of exchanges within a round trip.
func (d *Daemon) watchSuspicions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.stirred:
			sleep.For(ctx, collectFor)
			bytes := d.followSuspicions(ctx)
			sleep.For(ctx, time.Duration(bytes)*time.Second/alertBytes)
		}
	}
}

// followSuspicions finds out which servers have ended with requests, and tells others
// what follows. Exchanges that break look alike whether the server has ended or only a
// connection, and its registration runs out seconds later; where nothing listens any
// more is known after a round trip. It tells how many bytes the alerts take.
func (d *Daemon) followSuspicions(ctx context.Context) (bytes int) {
	var doubted []routing.Server
	urgent, reports := false, 0
	d.do(func(k *steering.Kernel, now time.Time) {
		doubted, urgent = k.ServersToProbe(), k.QuarantineReportsUrgent()
		if urgent {
			reports = len(k.QuarantineReports(now, false))
		}
	})
	for _, s := range doubted {
		go d.dialDoubted(ctx, s)
	}
	if !urgent {
		return 0
	}
	return d.gossip.alert(ctx) * reports * reportBytes
}

func (d *Daemon) dialDoubted(ctx context.Context, s routing.Server) {
	_, err := d.servers.Measure(ctx, s.Address, measureLimit)
	if !serverhttp.Refusing(err) {
		klog.V(1).InfoS("a server at which exchanges broke has not ended, as far as is known", "server", s.ID, "error", text(err))
		return
	}
	d.do(func(k *steering.Kernel, now time.Time) { k.RecordConnectionRefused(now, s.ID) })
}
