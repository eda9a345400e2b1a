package serverhttp

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// tcpCloseWait is the state of a TCP socket whose peer has closed its side in order (tcp_states.h).
	tcpCloseWait = 8
)

var (
	errCutOff = errors.New("response without length ended by an error of its connection")
)

// checkEnd checks a response that ends with its connection. A reset looks like the end of the stream to the
// reader if the write of the request has taken the error of the socket.
func (e *exchange) checkEnd() error {
	select {
	case err := <-e.written:
		e.written <- err
		if err != nil {
			return errors.Wrap(errCutOff, err.Error())
		}
		return nil
	default:
	}
	if !isClosedByPeer(e.conn.Transport.Conn) {
		return errCutOff
	}
	return nil
}

// isClosedByPeer reports whether the peer has closed its side of the connection without a reset.
func isClosedByPeer(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = infoErr == nil && info.State == tcpCloseWait
	})
	return err == nil && closed
}
