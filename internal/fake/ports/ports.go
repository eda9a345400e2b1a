// Package ports finds loopback ports for processes that a test starts. They
// lie below the range from which the system numbers outgoing connections, so
// that no connection can take one between the search and the process's start,
// and each test process begins its search elsewhere.
package ports

import (
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/go-faster/errors"
)

const (
	firstPort = 22000
	endPort   = 32000
	// pidStride spreads the test processes, whose ids are mostly neighbours.
	pidStride = 397
)

var (
	mu       sync.Mutex
	nextPort = firstPort + os.Getpid()*pidStride%(endPort-firstPort)
)

// Free finds a number of ports that nobody listens on and that this process
// has not been given before.
func Free(n int) ([]netip.AddrPort, error) {
	mu.Lock()
	defer mu.Unlock()
	var list []netip.AddrPort
	for range endPort - firstPort {
		if len(list) == n {
			return list, nil
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(nextPort))
		nextPort++
		if nextPort >= endPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", address.String())
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, errors.Wrap(err, "probe port")
		}
		list = append(list, address)
	}
	if len(list) == n {
		return list, nil
	}
	return nil, errors.Errorf("%d free ports wanted, %d found", n, len(list))
}
