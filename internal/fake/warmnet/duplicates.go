package warmnet

import (
	"net/netip"
	"strconv"

	"github.com/gypsumquay/gypsumquay/internal/kernel/connpool"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	// DuplicateStats describes what callers were told while servers sent duplicate responses.
	DuplicateStats struct {
		// Sent counts the duplicates that arrived where the response to another send was expected, and
		// Mistaken those that were taken for it.
		Sent, Mistaken int
		// RanAfterRejection counts the callers' attempts that were reported as not run although a
		// server ran them.
		RanAfterRejection int
	}

	// duplicateLog tracks the connections of proxies whose servers send duplicate responses.
	duplicateLog struct {
		pools    map[*steering.Kernel]*connpool.Pool[*virtualConn]
		attempts int
		// ran holds the attempts of callers that a server has begun to run.
		ran   map[string]bool
		stats DuplicateStats
	}

	// virtualConn is a connection of a proxy to a server.
	virtualConn struct {
		// duplicate is the response that the server sends again where the next one is expected, or
		// nil.
		duplicate *response
		// isDamaged is set once a response to another request has arrived.
		isDamaged bool
	}

	response struct {
		attemptID string
		result    steering.Result
	}

	pooledConn = connpool.Conn[*virtualConn]
)

// Close implements io.Closer.
func (c *virtualConn) Close() error { return nil }

// nameAttempt gives a caller's attempt an ID.
func (w *simulation) nameAttempt(req *request) {
	w.duplicateLog.attempts++
	req.attemptID = strconv.Itoa(w.duplicateLog.attempts)
}

// openConnection chooses the connection on which a request is sent, if servers send duplicates.
func (w *simulation) openConnection(req *request) {
	if w.scenario.DuplicateRatio == 0 {
		return
	}
	pool := w.duplicateLog.pools[req.kernel]
	if pool == nil {
		pool = connpool.New[*virtualConn]()
		w.duplicateLog.pools[req.kernel] = pool
	}
	address := w.serverAddress(req.server)
	if req.conn = pool.Take(w.clock(), address, req.attemptID, 0); req.conn == nil {
		req.conn = pool.Add(&virtualConn{}, address, w.scenario.Duration.Std())
	}
	req.conn.Begin(req.attemptID)
}

// releaseConnection ends the use of a connection. The server may send the response again later.
func (w *simulation) releaseConnection(req *request, result steering.Result) {
	if req.conn == nil {
		return
	}
	c, pool := req.conn, w.duplicateLog.pools[req.kernel]
	req.conn = nil
	if c.Transport.isDamaged || result == steering.ResultUnreachable || result == steering.ResultConnectionLost {
		pool.Discard(c)
		return
	}
	if w.random.Float64() < w.scenario.DuplicateRatio {
		c.Transport.duplicate = &response{attemptID: req.attemptID, result: result}
	}
	pool.Put(w.clock(), c, 0)
}

// receiveDuplicate lets the server repeat an earlier response when a request arrives. If the proxy takes
// it for the response to this request, the attempt ends there, and the request that is returned runs
// without it.
func (w *simulation) receiveDuplicate(req *request) *request {
	if req.conn == nil || req.conn.Transport.duplicate == nil {
		return req
	}
	d := req.conn.Transport.duplicate
	req.conn.Transport.duplicate, req.conn.Transport.isDamaged = nil, true
	w.duplicateLog.stats.Sent++
	if d.attemptID != req.attemptID {
		return req
	}
	w.duplicateLog.stats.Mistaken++
	unheard := *req
	unheard.hedgeState, unheard.conn = hedgeState{cancelled: true}, nil
	w.endAttempt(req, d.result)
	return &unheard
}

// recordNotRun records that a caller was told that its attempt has not run.
func (w *simulation) recordNotRun(req *request) {
	if w.duplicateLog.ran[req.attemptID] {
		w.duplicateLog.stats.RanAfterRejection++
	}
}

func (w *simulation) serverAddress(s *server) netip.AddrPort {
	for i, other := range w.servers {
		if other == s {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1)
		}
	}
	return netip.AddrPort{}
}
