package forward

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// backpressureReports are what a peer should hear of what backend servers ask of all proxies.
func (d *Daemon) backpressureReports(all bool) (list []backpressure.Report) {
	d.withKernel(func(k *steering.Kernel, now time.Time) { list = k.Signals(now, all) })
	return list
}
