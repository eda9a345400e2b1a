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
	// peers told. It bounds both to 20 a second.
	collectFor = 50 * time.Millisecond
)

// suspicions are what a peer should hear of work that ends servers.
func (d *Daemon) suspicions(all bool) (list []quarantine.Report) {
	d.do(func(k *steering.Kernel, now time.Time) { list = k.Suspicions(now, all) })
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
			d.followSuspicions(ctx)
		}
	}
}

// followSuspicions finds out which servers have ended with requests, and tells others
// what follows. Exchanges that break look alike whether the server has ended or only a
// connection, and its registration runs out seconds later; where nothing listens any
// more is known after a round trip.
func (d *Daemon) followSuspicions(ctx context.Context) {
	var doubted []routing.Server
	urgent := false
	d.do(func(k *steering.Kernel, _ time.Time) { doubted, urgent = k.Doubted(), k.SuspicionsUrgent() })
	for _, s := range doubted {
		go d.dialDoubted(ctx, s)
	}
	if urgent {
		d.gossip.alert(ctx)
	}
}

func (d *Daemon) dialDoubted(ctx context.Context, s routing.Server) {
	_, err := d.servers.Measure(ctx, s.Address, measureLimit)
	if !serverhttp.Refusing(err) {
		klog.V(1).InfoS("a server at which exchanges broke has not ended, as far as is known", "server", s.ID, "error", text(err))
		return
	}
	d.do(func(k *steering.Kernel, now time.Time) { k.Refusing(now, s.ID) })
}
