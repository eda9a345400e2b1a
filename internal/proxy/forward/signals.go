package forward

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// signals are what a peer should hear of what backend servers ask of all proxies.
func (d *Daemon) signals(all bool) (list []backpressure.Report) {
	d.do(func(k *steering.Kernel, now time.Time) { list = k.BackpressureReports(now, all) })
	return list
}
