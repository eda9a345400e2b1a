package simnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	// BackendServer simulates one backend server: slots, a short queue, cold starts and a lagging
	// load report.
	BackendServer struct {
		sim                *Sim
		config             operator.Server
		location           location
		down               bool
		incarnation        int
		startedAt          time.Time
		running            int
		queue              []*serverRequest
		shedAll            bool
		advertisesDraining bool
		// limit is the request rate that the server advertises as its limit.
		limit backpressure.Limit
		// pause is the pause that the server requests with each rejection.
		pause        time.Duration
		reportedLoad int
		reportedAt   time.Time
	}

	// serverRequest is a dispatched request with the function that responds to it.
	serverRequest struct {
		dispatch
		respond func(backend.Result, *backend.Report)
	}

	// dispatch is one attempt to run a request on a backend server.
	dispatch struct {
		key      string
		sendID   uint64
		attempt  string
		deadline time.Time
		booking  bool
	}
)

func newBackendServer(s *Sim, c operator.Server) *BackendServer {
	return &BackendServer{sim: s, config: c, location: location{c.Region, c.Domain}, startedAt: s.now.Add(-time.Hour)}
}

// setDown kills or restarts the process. Running and queued requests are lost.
func (b *BackendServer) setDown(down bool) {
	if b.down == down {
		return
	}
	b.down = down
	b.incarnation++
	b.running = 0
	queued := b.queue
	b.queue = nil
	if !down {
		b.startedAt = b.sim.now
	}
	for _, req := range queued {
		req.respond(backend.Interrupted, nil)
	}
}

// accept runs, queues or rejects a request that has arrived.
func (b *BackendServer) accept(req *serverRequest) {
	switch {
	case b.down:
		req.respond(backend.Unreachable, nil)
	case b.shedAll || b.advertisesDraining || b.running >= b.config.Slots && len(b.queue) >= b.sim.config.QueueLength:
		b.sim.checks.shedRequests++
		report := b.loadReport()
		report.Signal.Pause = b.pause
		req.respond(backend.Rejected, report)
	case b.running >= b.config.Slots:
		b.queue = append(b.queue, req)
	default:
		b.start(req)
	}
}

// start runs a request unless its deadline has passed by the server's own clock. This rejects
// dispatches that a frozen proxy sent late.
func (b *BackendServer) start(req *serverRequest) {
	if !b.sim.now.Before(req.deadline) {
		b.sim.checks.expiredDispatches++
		req.respond(backend.Rejected, b.loadReport())
		b.startNext()
		return
	}
	b.running++
	b.sim.checks.recordRun(req.dispatch, b)
	incarnation := b.incarnation
	if req.key == crashPath {
		b.sim.After(crashDelay, func() { b.crash(req, incarnation) })
		return
	}
	b.sim.After(b.serviceTime(), func() {
		if b.incarnation != incarnation {
			req.respond(backend.Interrupted, nil)
			return
		}
		b.running--
		req.respond(backend.Completed, b.loadReport())
		b.startNext()
	})
}

// crash ends the server that runs a crashing request and restarts it after crashRestartDelay.
func (b *BackendServer) crash(req *serverRequest, incarnation int) {
	req.respond(backend.Interrupted, nil)
	if b.incarnation != incarnation {
		return
	}
	b.sim.checks.crashTimes = append(b.sim.checks.crashTimes, b.sim.now)
	b.setDown(true)
	b.sim.After(crashRestartDelay, func() { b.setDown(false) })
}

// startNext starts the next queued request if a slot is free.
func (b *BackendServer) startNext() {
	if len(b.queue) == 0 || b.running >= b.config.Slots || b.down {
		return
	}
	req := b.queue[0]
	b.queue = b.queue[1:]
	b.start(req)
}

// serviceTime returns the duration of one run. After a start it is longer by ColdStartFactor, which
// falls linearly to one over ColdStartDuration.
func (b *BackendServer) serviceTime() time.Duration {
	c := b.sim.config
	d := float64(jitter(b.sim.random, c.ServiceTime))
	if age := b.sim.now.Sub(b.startedAt); c.ColdStartFactor > 1 && age < c.ColdStartDuration {
		d *= c.ColdStartFactor - (c.ColdStartFactor-1)*float64(age)/float64(c.ColdStartDuration)
	}
	return time.Duration(d)
}

// loadReport returns the load that the server reports, which is out of date by up to the configured
// lag.
func (b *BackendServer) loadReport() *backend.Report {
	if b.sim.now.Sub(b.reportedAt) >= b.sim.config.ReportLag {
		b.reportedLoad = b.running + len(b.queue)
		b.reportedAt = b.sim.now
	}
	return &backend.Report{Running: b.reportedLoad, Draining: b.advertisesDraining, Signal: backpressure.Signal{Limit: b.limit}, At: b.sim.now}
}
