package forward

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

// backpressureReports returns the backpressure signals of backend servers to send to a peer; all of
// them for one that knows none yet.
func (d *Daemon) backpressureReports(all bool) (list []backpressure.Report) {
	d.withKernel(func(k *steering.Kernel, now time.Time) { list = k.BackpressureReports(now, all) })
	return list
}
