package forward

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// backpressureReports returns the reports on the backpressure of backend servers that are due to
// peers, or all reports for a peer that knows none yet.
func (d *Daemon) backpressureReports(all bool) (list []backpressure.Report) {
	d.withKernel(func(k *steering.Kernel, now time.Time) { list = k.BackpressureReports(now, all) })
	return list
}
