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
		sim    *Sim
		config operator.Server
		place  location
		down   bool
		life   int
		began  time.Time
		busy   int
		queue  []*queuedRequest
		shed   bool
		leaves bool
		// limit is what it names, in requests a second.
		limit backpressure.Limit
		// pause is what it asks for with each refusal.
		pause  time.Duration
		report int
		at     time.Time
	}

	queuedRequest struct {
		dispatch
		reply func(backend.Result, *backend.Report)
	}

	dispatch struct {
		key      string
		send     uint64
		attempt  string
		deadline time.Time
		book     bool
	}
)

func newWorker(s *Sim, c operator.Server) *BackendServer {
	return &BackendServer{sim: s, config: c, place: location{c.Region, c.Domain}, began: s.now.Add(-time.Hour)}
}

// setDown kills or restarts the process. What it held is lost.
func (w *BackendServer) setDown(down bool) {
	if w.down == down {
		return
	}
	w.down = down
	w.life++
	w.busy = 0
	queued := w.queue
	w.queue = nil
	if !down {
		w.began = w.sim.now
	}
	for _, j := range queued {
		j.reply(backend.Interrupted, nil)
	}
}

// accept takes a request in that has arrived.
func (w *BackendServer) accept(j *queuedRequest) {
	switch {
	case w.down:
		j.reply(backend.Unreachable, nil)
	case w.shed || w.leaves || w.busy >= w.config.Slots && len(w.queue) >= w.sim.config.QueueLength:
		w.sim.checks.sheds++
		report := w.load()
		report.Signal.Pause = w.pause
		j.reply(backend.Rejected, report)
	case w.busy >= w.config.Slots:
		w.queue = append(w.queue, j)
	default:
		w.start(j)
	}
}

// start runs a request unless its deadline has passed by the server's own
// clock, which is the guard against dispatches that thaw late.
func (w *BackendServer) start(j *queuedRequest) {
	if !w.sim.now.Before(j.deadline) {
		w.sim.checks.late++
		j.reply(backend.Rejected, w.load())
		w.next()
		return
	}
	w.busy++
	w.sim.checks.ran(j.dispatch, w)
	life := w.life
	if j.key == deadlyPath {
		w.sim.After(deadlyAfter, func() { w.endBy(j, life) })
		return
	}
	w.sim.After(w.serviceTime(), func() {
		if w.life != life {
			j.reply(backend.Interrupted, nil)
			return
		}
		w.busy--
		j.reply(backend.Answered, w.load())
		w.next()
	})
}

// endBy ends the server under a deadly request, and has it back some time later.
func (w *BackendServer) endBy(j *queuedRequest, life int) {
	j.reply(backend.Interrupted, nil)
	if w.life != life {
		return
	}
	w.sim.checks.deadlyEnds = append(w.sim.checks.deadlyEnds, w.sim.now)
	w.setDown(true)
	w.sim.After(deadlyBack, func() { w.setDown(false) })
}

func (w *BackendServer) next() {
	if len(w.queue) == 0 || w.busy >= w.config.Slots || w.down {
		return
	}
	j := w.queue[0]
	w.queue = w.queue[1:]
	w.start(j)
}

func (w *BackendServer) serviceTime() time.Duration {
	c := w.sim.config
	d := float64(spread(w.sim.random, c.ServiceTime))
	if age := w.sim.now.Sub(w.began); c.ColdStartFactor > 1 && age < c.ColdStartDuration {
		d *= c.ColdStartFactor - (c.ColdStartFactor-1)*float64(age)/float64(c.ColdStartDuration)
	}
	return time.Duration(d)
}

// load is the server's own report, as old as the configured lag.
func (w *BackendServer) load() *backend.Report {
	if w.sim.now.Sub(w.at) >= w.sim.config.ReportLag {
		w.report = w.busy + len(w.queue)
		w.at = w.sim.now
	}
	return &backend.Report{Running: w.report, Leaving: w.leaves, Signal: backpressure.Signal{Limit: w.limit}, At: w.sim.now}
}
