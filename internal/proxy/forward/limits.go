package forward

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

const (
	// memoryShare of what the process may use makes the collector work harder:
	// past all of it the process is killed.
	memoryShare = 0.8
	// bodiesShare is the part of it that bodies of requests and answers may take
	// together: a body that grows is held twice for a moment, and the collector
	// leaves as much again. bodiesDefault applies if the settings name no memory.
	bodiesShare   = 0.25
	bodiesDefault = 64 << 20
	// callerShare and directoryShare are the parts of the open files that
	// connections of callers and of their look-ups may take. Servers, peers and
	// the store need the rest.
	callerShare    = 0.6
	directoryShare = 0.2
	// filesDefault applies where the limit is not known; more than filesMost are
	// not counted on.
	filesDefault = 1024
	filesMost    = 1 << 20
	// faceIdle is how long a connection for look-ups and probes may rest: as long
	// as one for requests. Without an end each caller that ever asked would hold
	// an open file.
	faceIdle = 2 * time.Minute
)

// bodiesMost is what bodies may take of the memory of the process, in bytes.
func bodiesMost(memory int64) int64 {
	if memory <= 0 {
		return bodiesDefault
	}
	return int64(bodiesShare * float64(memory))
}

// openFiles is how many files the process may have open.
func openFiles() float64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		klog.ErrorS(err, "limit of open files not known", "assumed", filesDefault)
		return filesDefault
	}
	return float64(min(limit.Cur, filesMost))
}
