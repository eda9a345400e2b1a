package forward

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// minClockJump is how far clocks must move against each other to count: less than what
	// is held for a time is guarded by.
	minClockJump = 50 * time.Millisecond
)

var (
	// processStart has a steady reading.
	processStart = time.Now()
)

type (
	// suspendDetector notices that the VM did not run for a while. The steady clock stands
	// still meanwhile, and everything that was given for a time would seem to last.
	suspendDetector struct {
		// wallOffset is how far the time of day is ahead of the steady clock, asleep how long
		// the VM has been suspended since it started.
		wallOffset  time.Duration
		suspended   time.Duration
		initialized bool
	}
)

// checkResumed reports whether the VM was suspended since the last time that it was asked. The
// clocks that know for certain are read only if the time of day has moved: that is a
// call of the system each.
func (s *suspendDetector) checkResumed(clock time.Time) bool {
	// Without its steady reading a time is of the time of day alone.
	wall := clock.Round(0).Sub(time.Unix(0, 0)) - monotonic(clock)
	moved := (wall - s.wallOffset).Abs() > minClockJump
	s.wallOffset = wall
	if s.initialized && !moved {
		return false
	}
	asleep, err := suspendedTime()
	if err != nil {
		klog.ErrorS(err, "clocks not read; the VM is taken to have been suspended")
		return s.initialized
	}
	suspended := s.initialized && asleep-s.suspended > minClockJump
	if moved && s.initialized {
		klog.InfoS("time of day has moved", "suspended", suspended, "suspended-for", (asleep - s.suspended).String())
	}
	s.suspended, s.initialized = asleep, true
	return suspended
}

// monotonic is the steady clock since this process started.
func monotonic(clock time.Time) time.Duration { return clock.Sub(processStart) }

// suspendedTime is how long the VM has been suspended since it started.
func suspendedTime() (time.Duration, error) {
	var boot, steady unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}
