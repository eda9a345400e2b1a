package forward

import (
	"cmp"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/proxy/openfiles"
)

const (
	// memoryLimitRatio is the fraction of the process's memory from which the garbage collector
	// works harder: a process that exceeds its memory is killed.
	memoryLimitRatio = 0.8
	// bodyMemoryRatio is the fraction that buffered bodies of requests and responses may use
	// together: the garbage collector leaves as much again unreclaimed. maxBodyMemoryRatio is the same if
	// the longest body of the configuration needs more. defaultMemoryBytes applies if the settings give no
	// memory size.
	bodyMemoryRatio    = 0.25
	maxBodyMemoryRatio = 0.4
	defaultMemoryBytes = 256 << 20
	// headMemoryRatio is the fraction that the heads of requests may use together beyond the usual size,
	// messageMemoryRatio that of calls of other proxies that are being received.
	headMemoryRatio    = 0.125
	messageMemoryRatio = 0.125
	// connectionMemoryRatio is the fraction that connections for requests may use, connectionMemory how
	// much one of them takes in bytes.
	connectionMemoryRatio = 0.2
	connectionMemory      = 48 << 10
	// callerFileRatio, directoryFileRatio, handoverFileRatio and peerFileRatio are the fractions of the
	// open-file limit that connections for requests, for lookups, of proxies that hand requests over
	// and for their calls may use. Connections to servers, peers and the store need the rest.
	callerFileRatio    = 0.5
	directoryFileRatio = 0.1
	handoverFileRatio  = 0.1
	peerFileRatio      = 0.15
	// readinessFileRatio and operatorFileRatio are the same for the addresses that only the platform and
	// operators use, maxReadinessConnections and maxOperatorConnections the most of these.
	readinessFileRatio      = 0.05
	operatorFileRatio       = 0.05
	maxReadinessConnections = 64
	maxOperatorConnections  = 32
	// httpIdleTimeout closes idle connections of lookups and readiness probes, after the same time
	// as those of requests. Without it, each caller that ever made a lookup would hold an open
	// file.
	httpIdleTimeout = 2 * time.Minute
)

// maxCallerConnections is how many connections for requests a process with the given memory may have, or
// unlimited if that is not known.
func maxCallerConnections(memory int64) int {
	if memory <= 0 {
		return openfiles.Max
	}
	return int(connectionMemoryRatio * float64(memory) / connectionMemory)
}

// memoryShare is a fraction of the process's memory in bytes.
func memoryShare(memory int64, ratio float64) int64 {
	return int64(ratio * float64(cmp.Or(memory, defaultMemoryBytes)))
}
