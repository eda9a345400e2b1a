// Package ports finds free loopback ports for processes that a test starts. The ports lie below the
// ephemeral range of the system, so that no outgoing connection can take one between the search and
// the start of the process. Each test process starts its search at a different port.
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
	// pidStride spreads the start ports of test processes, whose process IDs are mostly adjacent.
	pidStride = 397
)

var (
	mu       sync.Mutex
	nextPort = firstPort + os.Getpid()*pidStride%(endPort-firstPort)
)

// Free returns n addresses with ports that nobody listens on and that this process has not returned
// before.
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
	return nil, errors.Errorf("need %d free ports, found %d", n, len(list))
}

// FreePair returns two addresses like Free, of which the second port is the next one to the first.
func FreePair() (first, second netip.AddrPort, err error) {
	previous, err := Free(1)
	for range endPort - firstPort {
		if err != nil {
			break
		}
		var next []netip.AddrPort
		if next, err = Free(1); err == nil && next[0].Port() == previous[0].Port()+1 {
			return previous[0], next[0], nil
		}
		previous = next
	}
	if err == nil {
		err = errors.New("found no two adjacent free ports")
	}
	return netip.AddrPort{}, netip.AddrPort{}, err
}
