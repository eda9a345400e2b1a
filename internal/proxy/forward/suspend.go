package forward

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// minClockJump is the smallest difference between two clocks that counts as a jump. It is less
	// than the safety margin of leases.
	minClockJump = 50 * time.Millisecond
)

var (
	// processStart includes a monotonic clock reading.
	processStart = time.Now()
)

type (
	// suspendDetector detects that the VM was suspended. The monotonic clock stands still
	// meanwhile, so that every lease would seem to last longer than it does.
	suspendDetector struct {
		// wallOffset is how far the wall clock is ahead of the monotonic clock; suspended is the
		// total time that the VM has been suspended since it booted.
		wallOffset  time.Duration
		suspended   time.Duration
		initialized bool
	}
)

// checkResumed reports whether the VM was suspended since the previous call. The clocks that give
// a certain result are read only if the wall clock has jumped, since each read is a system call.
func (s *suspendDetector) checkResumed(now time.Time) bool {
	// Round(0) strips the monotonic reading, so that the wall clock is used.
	offset := now.Round(0).Sub(time.Unix(0, 0)) - monotonic(now)
	jumped := (offset - s.wallOffset).Abs() > minClockJump
	s.wallOffset = offset
	if s.initialized && !jumped {
		return false
	}
	total, err := suspendedTime()
	if err != nil {
		klog.ErrorS(err, "reading the clocks failed; assuming that the VM was suspended")
		return s.initialized
	}
	suspended := s.initialized && total-s.suspended > minClockJump
	if jumped && s.initialized {
		klog.InfoS("wall clock has jumped", "suspended", suspended, "suspended-for", (total - s.suspended).String())
	}
	s.suspended, s.initialized = total, true
	return suspended
}

// monotonic is the time since this process started by the monotonic clock.
func monotonic(now time.Time) time.Duration { return now.Sub(processStart) }

// suspendedTime is the total time that the VM has been suspended since it booted.
func suspendedTime() (time.Duration, error) {
	var boot, mono unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &mono); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - mono.Nano()), nil
}
