package serverhttp

import (
	"maps"
	"net/netip"
	"sync"
	"time"
)

const (
	// reducedResponseBytes limits responses without Content-Length of a server that has exceeded
	// maxResponseBytes within oversizeMemory: what it sends next may have no end either.
	reducedResponseBytes = 1 << 20
	oversizeMemory       = 10 * time.Second
)

type (
	// oversizeLog remembers which servers have sent a response beyond maxResponseBytes.
	oversizeLog struct {
		mu sync.Mutex
		at map[netip.AddrPort]time.Time
	}
)

// record records such a response and forgets those of long ago.
func (l *oversizeLog) record(now time.Time, server netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.at, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= oversizeMemory })
	l.at[server] = now
}

// limit returns the limit in bytes of a response of a server. The length is negative if it is not known.
func (l *oversizeLog) limit(now time.Time, server netip.AddrPort, contentLength int64) int64 {
	if contentLength >= 0 {
		return maxResponseBytes
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, known := l.at[server]; known && now.Sub(at) < oversizeMemory {
		return reducedResponseBytes
	}
	return maxResponseBytes
}
