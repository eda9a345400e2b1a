package forward

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// memoryLimitRatio of what the process may use makes the collector work harder:
	// past all of it the process is killed.
	memoryLimitRatio = 0.8
	// bodyMemoryRatio is the part of it that bodies of requests and answers may take
	// together: a body that grows is held twice for a moment, and the collector
	// leaves as much again. defaultBodyBytes applies if the settings name no memory.
	bodyMemoryRatio  = 0.25
	defaultBodyBytes = 64 << 20
	// callerFileRatio and directoryFileRatio are the parts of the open files that
	// connections of callers and of their look-ups may take. Servers, peers and
	// the store need the rest.
	callerFileRatio    = 0.6
	directoryFileRatio = 0.2
	// defaultOpenFiles applies where the limit is not known; more than maxOpenFiles are
	// not counted on.
	defaultOpenFiles = 1024
	maxOpenFiles     = 1 << 20
	// httpIdleTimeout is how long a connection for look-ups and probes may rest: as long
	// as one for requests. Without an end each caller that ever asked would hold
	// an open file.
	httpIdleTimeout = 2 * time.Minute
)

// bodyMemoryLimit is what bodies may take of the memory of the process, in bytes.
func bodyMemoryLimit(memory int64) int64 {
	if memory <= 0 {
		return defaultBodyBytes
	}
	return int64(bodyMemoryRatio * float64(memory))
}

// openFileLimit is how many files the process may have open.
func openFileLimit() float64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		klog.ErrorS(err, "limit of open files not known", "assumed", defaultOpenFiles)
		return defaultOpenFiles
	}
	return float64(min(limit.Cur, maxOpenFiles))
}
