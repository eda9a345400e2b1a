package forward

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// memoryLimitRatio is the fraction of the process's memory from which the garbage collector
	// works harder: a process that exceeds its memory is killed.
	memoryLimitRatio = 0.8
	// bodyMemoryRatio is the fraction that buffered bodies of requests and responses may use
	// together: a growing body is briefly held twice, and the garbage collector leaves as much
	// again unreclaimed. defaultBodyBytes applies if the settings give no memory size.
	bodyMemoryRatio  = 0.25
	defaultBodyBytes = 64 << 20
	// callerFileRatio and directoryFileRatio are the fractions of the open-file limit that
	// connections for requests and for lookups may use. Connections to servers, peers and the
	// store need the rest.
	callerFileRatio    = 0.6
	directoryFileRatio = 0.2
	// handoverFileRatio is the same for connections of proxies that hand requests over.
	handoverFileRatio = 0.1
	// defaultOpenFiles applies if the limit can't be read; maxOpenFiles caps a larger limit.
	defaultOpenFiles = 1024
	maxOpenFiles     = 1 << 20
	// httpIdleTimeout closes idle connections of lookups and readiness probes, after the same time
	// as those of requests. Without it, each caller that ever made a lookup would hold an open
	// file.
	httpIdleTimeout = 2 * time.Minute
)

// bodyMemoryLimit is how much of the process's memory buffered bodies may use, in bytes.
func bodyMemoryLimit(memory int64) int64 {
	if memory <= 0 {
		return defaultBodyBytes
	}
	return int64(bodyMemoryRatio * float64(memory))
}

// openFileLimit is the process's limit of open files.
func openFileLimit() float64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		klog.ErrorS(err, "open-file limit not available; using the default", "assumed", defaultOpenFiles)
		return defaultOpenFiles
	}
	return float64(min(limit.Cur, maxOpenFiles))
}
