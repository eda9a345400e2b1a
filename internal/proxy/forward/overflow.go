package forward

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/directory"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// utilizationWindow is the time over which the utilization is measured. It is measured every
	// sampleInterval: once per window, a burst that begins within one would be noticed up to two
	// windows later.
	utilizationWindow = time.Second
	sampleInterval    = 250 * time.Millisecond
	bitsPerByte       = 8
	bitsPerMbit       = 1e6
)

type (
	// utilization is the part of this proxy's resources that was in use; zero if unknown.
	utilization struct {
		link, cpu float64
	}

	// usage is what the process has used since its start.
	usage struct {
		at        time.Time
		sentBytes uint64
		cpuTime   time.Duration
	}

	// utilizationMeter measures the utilization in the last utilizationWindow.
	utilizationMeter struct {
		linkMbps int
		// cpuCores is how many seconds of CPU time the process gets in a second; zero if unknown.
		cpuCores float64
		// sentBytes and cpuTime return the totals since the start of the process.
		sentBytes func() uint64
		cpuTime   func() time.Duration

		// samples are those of the window and the last one before it, in order of time.
		samples []usage
	}

	// overflowMonitor maintains the overflow level of this proxy, which its entry publishes.
	overflowMonitor struct {
		daemon *Daemon
		meter  utilizationMeter
		// sentBytes counts what was written to callers and servers.
		sentBytes atomic.Uint64
		// control is used only by update, level by all.
		control directory.OverflowControl
		level   atomic.Int64
	}
)

func newOverflowMonitor(d *Daemon) *overflowMonitor {
	m := &overflowMonitor{daemon: d}
	m.meter = utilizationMeter{
		linkMbps: d.settings.LinkMbps, cpuCores: cpuCores(d.settings),
		sentBytes: m.sentBytes.Load, cpuTime: processCPUTime,
	}
	return m
}

// cpuCores is how many cores the process may use; zero if unknown.
func cpuCores(s *Settings) float64 {
	if s.CPUShare <= 0 || s.CPUCores <= 0 {
		return max(s.CPUShare, s.CPUCores)
	}
	return min(s.CPUShare, s.CPUCores)
}

// processCPUTime is the CPU time of this process.
func processCPUTime() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		klog.V(1).InfoS("CPU time not available", "error", err.Error())
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countSent counts bytes that were written to a caller or server.
func (m *overflowMonitor) countSent(n int) { m.sentBytes.Add(uint64(n)) }

// currentLevel is the level to publish.
func (m *overflowMonitor) currentLevel() directory.Level { return directory.Level(m.level.Load()) }

func (m *overflowMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.update(m.daemon.now())
		}
	}
}

// update measures the utilization and requests a write of the entry if the level changes.
func (m *overflowMonitor) update(now time.Time) {
	u := m.meter.measure(now)
	m.daemon.metrics.recordUtilization(u)
	before := m.control.Level()
	changed := m.control.Update(now, max(u.link, u.cpu), func(l directory.Level) (growth float64) {
		m.daemon.withKernel(func(k *steering.Kernel, _ time.Time) { growth = k.OverflowGrowth(l) })
		return growth
	})
	if !changed {
		return
	}
	level := m.control.Level()
	m.level.Store(int64(level))
	m.daemon.metrics.recordOverflowLevel(level)
	klog.InfoS("overflow level changed", "level", level, "before", before, "link-utilization", u.link, "cpu-utilization", u.cpu)
	m.daemon.replica.requestRewrite()
}

// measure samples the usage and returns the utilization in the window, or zero until half a window
// has been sampled.
func (m *utilizationMeter) measure(now time.Time) (u utilization) {
	current := usage{at: now, sentBytes: m.sentBytes(), cpuTime: m.cpuTime()}
	m.samples = append(m.samples, current)
	for len(m.samples) > 1 && now.Sub(m.samples[1].at) >= utilizationWindow {
		m.samples = slices.Delete(m.samples, 0, 1)
	}
	first := m.samples[0]
	elapsed := now.Sub(first.at)
	if elapsed < utilizationWindow/2 {
		return utilization{}
	}
	if m.linkMbps > 0 {
		u.link = float64(current.sentBytes-first.sentBytes) * bitsPerByte / (float64(m.linkMbps) * bitsPerMbit * elapsed.Seconds())
	}
	if m.cpuCores > 0 {
		u.cpu = max(0, (current.cpuTime-first.cpuTime).Seconds()) / (m.cpuCores * elapsed.Seconds())
	}
	return u
}
