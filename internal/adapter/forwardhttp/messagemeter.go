package forwardhttp

import (
	"net"
	"sync"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
)

const (
	// messageByteMemory is how much memory a byte of a message takes while it is read: the buffer grows
	// by copying.
	messageByteMemory = 3
	// freeMessageMemory is the part of a message that is not reserved.
	freeMessageMemory = 64 << 10
	// messageMemoryStep is how much memory is reserved at once.
	messageMemoryStep = 64 << 10
)

var (
	errNoMemoryMessages = errors.New("memory for messages of peers exhausted")
)

type (
	// messageMeter reserves memory for what was read from a connection since the last write to it: the
	// call that is being received.
	messageMeter struct {
		mu          sync.Mutex
		reservation *bodies.Reservation
		bytes       int64
		reserved    int64
	}
)

// LimitMessages limits the memory of calls that are being received on connections whose calls are answered
// one after the other. It must be called before the first Accept.
func (l *Listener) LimitMessages(memory *bodies.MemoryBudget) {
	l.newMessageMeter = func() *messageMeter { return &messageMeter{reservation: memory.NewReservation()} }
}

// read counts bytes that were read. It returns an error if there is no memory for them. m may be nil.
func (m *messageMeter) read(n int) error {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes += int64(n)
	need := messageByteMemory*m.bytes - freeMessageMemory - m.reserved
	if need <= 0 {
		return nil
	}
	need = max(need, messageMemoryStep)
	if !m.reservation.TryGrow(need) {
		return &net.OpError{Op: "read", Net: "tcp", Err: errNoMemoryMessages}
	}
	m.reserved += need
	return nil
}

// reset is called when a call was answered or its connection is closed. m may be nil.
func (m *messageMeter) reset() {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reservation.Release()
	m.bytes, m.reserved = 0, 0
}
