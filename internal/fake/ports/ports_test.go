package ports

import (
	"net"
	"net/netip"
	"testing"
)

// Guards against a search that gives up because every second port of a stretch is taken.
func TestPairIsFoundBehindTakenPorts(t *testing.T) {
	const taken = 60
	mu.Lock()
	for port := nextPort + 1; port < min(nextPort+2*taken, endPort); port += 2 {
		l, err := net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)).String())
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = l.Close() })
	}
	mu.Unlock()
	first, second, err := FreePair()
	if err != nil || second.Port() != first.Port()+1 {
		t.Errorf("got %s and %s, error %v, want adjacent ports", first, second, err)
	}
}
