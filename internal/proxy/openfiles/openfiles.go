// Package openfiles reads the limit of open files of the process, of which listeners take parts.
package openfiles

import (
	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// defaultLimit applies if the limit can't be read; Max caps a larger limit.
	defaultLimit = 1024
	// Max is the largest limit that is reported.
	Max = 1 << 20
)

// Limit returns how many files the process may have open.
func Limit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		klog.ErrorS(err, "open-file limit not available; using the default", "assumed", defaultLimit)
		return defaultLimit
	}
	return int(min(limit.Cur, Max))
}

// Share returns a fraction of the limit.
func Share(fraction float64) int { return int(fraction * float64(Limit())) }
