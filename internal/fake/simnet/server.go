package simnet

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	// BackendServer is one backend server.
	BackendServer struct {
		sim            *Sim
		config         operator.Server
		location       location
		down           bool
		incarnation    int
		startedAt      time.Time
		running        int
		queue          []*queuedRequest
		shedAll        bool
		reportsLeaving bool
		// limit is what it names, in requests a second.
		limit backpressure.Limit
		// pause is what it asks for with each refusal.
		pause        time.Duration
		reportedLoad int
		reportedAt   time.Time
	}

	queuedRequest struct {
		dispatch
		respond func(backend.Result, *backend.Report)
	}

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

// setDown kills or restarts the process. What it held is lost.
func (w *BackendServer) setDown(down bool) {
	if w.down == down {
		return
	}
	w.down = down
	w.incarnation++
	w.running = 0
	queued := w.queue
	w.queue = nil
	if !down {
		w.startedAt = w.sim.now
	}
	for _, j := range queued {
		j.respond(backend.Interrupted, nil)
	}
}

// accept takes a request in that has arrived.
func (w *BackendServer) accept(j *queuedRequest) {
	switch {
	case w.down:
		j.respond(backend.Unreachable, nil)
	case w.shedAll || w.reportsLeaving || w.running >= w.config.Slots && len(w.queue) >= w.sim.config.QueueLength:
		w.sim.checks.shedRequests++
		report := w.loadReport()
		report.Signal.Pause = w.pause
		j.respond(backend.Rejected, report)
	case w.running >= w.config.Slots:
		w.queue = append(w.queue, j)
	default:
		w.start(j)
	}
}

// start runs a request unless its deadline has passed by the server's own
// clock, which is the guard against dispatches that thaw late.
func (w *BackendServer) start(j *queuedRequest) {
	if !w.sim.now.Before(j.deadline) {
		w.sim.checks.expiredDispatches++
		j.respond(backend.Rejected, w.loadReport())
		w.startNext()
		return
	}
	w.running++
	w.sim.checks.recordRun(j.dispatch, w)
	incarnation := w.incarnation
	if j.key == crashPath {
		w.sim.After(crashDelay, func() { w.crash(j, incarnation) })
		return
	}
	w.sim.After(w.serviceTime(), func() {
		if w.incarnation != incarnation {
			j.respond(backend.Interrupted, nil)
			return
		}
		w.running--
		j.respond(backend.Answered, w.loadReport())
		w.startNext()
	})
}

// crash ends the server under a deadly request, and has it back some time later.
func (w *BackendServer) crash(j *queuedRequest, incarnation int) {
	j.respond(backend.Interrupted, nil)
	if w.incarnation != incarnation {
		return
	}
	w.sim.checks.crashTimes = append(w.sim.checks.crashTimes, w.sim.now)
	w.setDown(true)
	w.sim.After(crashRestartDelay, func() { w.setDown(false) })
}

func (w *BackendServer) startNext() {
	if len(w.queue) == 0 || w.running >= w.config.Slots || w.down {
		return
	}
	j := w.queue[0]
	w.queue = w.queue[1:]
	w.start(j)
}

func (w *BackendServer) serviceTime() time.Duration {
	c := w.sim.config
	d := float64(randomizeSpan(w.sim.random, c.ServiceTime))
	if age := w.sim.now.Sub(w.startedAt); c.ColdStartFactor > 1 && age < c.ColdStartDuration {
		d *= c.ColdStartFactor - (c.ColdStartFactor-1)*float64(age)/float64(c.ColdStartDuration)
	}
	return time.Duration(d)
}

// loadReport is the server's own report, as old as the configured lag.
func (w *BackendServer) loadReport() *backend.Report {
	if w.sim.now.Sub(w.reportedAt) >= w.sim.config.ReportLag {
		w.reportedLoad = w.running + len(w.queue)
		w.reportedAt = w.sim.now
	}
	return &backend.Report{Running: w.reportedLoad, Leaving: w.reportsLeaving, Signal: backpressure.Signal{Limit: w.limit}, At: w.sim.now}
}
