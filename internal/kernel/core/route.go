package core

import (
	"slices"
	"strconv"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/region"
)

const (
	// planEvery is how often target rows are computed.
	planEvery = 500 * time.Millisecond
	// probeEvery is how often a server taken out is asked for its health.
	probeEvery = 500 * time.Millisecond
	// leavingProbeEvery is how often a server that leaves by its own word is asked whether
	// it still does.
	leavingProbeEvery = 5 * time.Second
	// rateWeight is the weight of one sample of a rate.
	rateWeight = 0.2
	// lostShare of a region's servers out means that the region is lost.
	lostShare = 0.8
	// comeBackMost bounds the time after which a refused caller returns.
	comeBackMost = 30 * time.Second
)

type (
	// rateMeter smooths a number per second.
	rateMeter struct {
		count int
		rate  float64
	}
)

func (m *rateMeter) sample(over time.Duration) {
	if over <= 0 {
		return
	}
	rate := float64(m.count) / over.Seconds()
	m.rate += rateWeight * (rate - m.rate)
	m.count = 0
}

// plan recomputes the target rows now and then, and moves the rows in force
// towards them at the bundle's pace.
func (k *Kernel) plan(now time.Time) {
	if now.Before(k.nextPlan) {
		return
	}
	over := planEvery
	if !k.nextPlan.IsZero() {
		over += now.Sub(k.nextPlan)
	}
	k.nextPlan = now.Add(planEvery)
	lost := make([]bool, len(k.regions))
	for i, r := range k.regions {
		r.demand.sample(over)
		r.refused.sample(over)
		k.judgeRegion(now, r)
		lost[i] = r.lost
	}
	targets := k.planner.Target(k.planInput(now))
	planned, failover := k.paces()
	if k.config.Break.ShiftUncapped {
		planned.Cap = region.Full
		failover.Cap = region.Full
	}
	for i, r := range k.regions {
		if n := r.mover.Advance(now, targets[i], lost, planned, failover); n > 0 {
			k.log(now, Event{Kind: EventShift, Target: r.Name, Detail: strconv.Itoa(n) + " permille"})
		}
	}
}

func (k *Kernel) paces() (planned, failover region.Pace) {
	s := k.bundle.Shift
	return region.Pace{Cap: s.CapPermille, Interval: s.Interval.Std()},
		region.Pace{Cap: s.FailoverCapPermille, Interval: s.FailoverInterval.Std()}
}

func (k *Kernel) planInput(now time.Time) region.Input {
	n := len(k.regions)
	in := region.Input{
		Preferred: preferredRows(k.bundle),
		Current:   make([]region.Row, n),
		Usable:    make([]bool, n),
		Demand:    make([]float64, n),
		Capacity:  make([]int, n),
		Quota:     make([]int, n),
		Refused:   make([]float64, n),
	}
	for i, r := range k.regions {
		in.Current[i] = r.mover.Row()
		in.Usable[i] = !r.lost && len(r.servers) > 0 && !k.bundle.Drained(operator.DrainRegion, r.Name, now)
		in.Demand[i] = r.demand.rate
		in.Capacity[i] = r.Capacity
		in.Quota[i] = max(0, r.quota.Limit(now))
		if now.Sub(k.started) > youngFor {
			// At a start quota is only on its way, and refusals say nothing.
			in.Refused[i] = r.refused.rate
		}
	}
	return in
}

// preferredRows are the rows that the bundle asks for.
func preferredRows(b *operator.Bundle) []region.Row {
	rows := make([]region.Row, len(b.Regions))
	index := make(map[string]int)
	for i, r := range b.Regions {
		rows[i] = region.Unit(len(b.Regions), i)
		index[r.Name] = i
	}
	for _, s := range b.Steering {
		from, to := index[s.From], index[s.To]
		rows[from][from] -= s.Permille
		rows[from][to] += s.Permille
	}
	return rows
}

// judgeRegion decides whether a region is lost: nearly all its servers were
// taken out for failures. One server that answers brings it back.
func (k *Kernel) judgeRegion(now time.Time, r *regionState) {
	out, total := 0, 0
	for _, s := range r.servers {
		if s.Leaving() {
			continue
		}
		total++
		if s.Out() {
			out++
		}
	}
	lost := total > 0 && float64(out) >= lostShare*float64(total)
	if lost == r.lost {
		return
	}
	r.lost = lost
	kind := EventRegionBack
	if lost {
		kind = EventRegionLost
	}
	k.log(now, Event{Kind: kind, Target: r.Name})
}

// probe asks servers that were taken out whether they are back. Without it a
// lost region, which gets no requests, would never be found to have returned.
// It also asks one more server of a region in which some are out, so that a
// region's loss is noticed before each server has failed three requests, and now and
// then one that leaves by its own word whether it still does.
func (k *Kernel) probe(now time.Time, actions []Action) []Action {
	for _, r := range k.regions {
		suspicious := slices.ContainsFunc(r.servers, (*backend.Server).Out)
		for _, s := range r.servers {
			every := leavingProbeEvery
			if !s.LeavesByItsWord() {
				every = probeEvery
			}
			if !suspicious && !s.LeavesByItsWord() || !k.permits(now, s) || !s.ProbeDue(now, every) {
				continue
			}
			k.signalsOf(s).RecordSent(now)
			actions = append(actions, SendProbe{Server: s.Name, Address: s.Address})
		}
	}
	return actions
}

// ProbeEnded takes in a probe's result.
func (k *Kernel) ProbeEnded(now time.Time, name string, h backend.Health) {
	if h.Refusing {
		k.serverEnded(now, name)
	}
	for _, r := range k.regions {
		for _, s := range r.servers {
			if s.Name != name {
				continue
			}
			if h.Report != nil {
				s.Learn(*h.Report)
				// When it was asked is not known, so it lifts no limit.
				k.signals.RecordSignal(now, now, signalKey(s.Name), h.Report.Signal, false)
			}
			s.Probed(h, now)
		}
	}
}

// applyLeaving marks servers that drains or the VM list take out of service.
func (k *Kernel) applyLeaving(now time.Time) {
	for _, r := range k.regions {
		for _, s := range r.servers {
			was := s.Leaving()
			s.SetDrained(k.bundle.Drained(operator.DrainServer, s.Name, now) && !k.config.Break.LeavingServes)
			state, listed := k.machines.State(s.Name)
			s.SetListed(!listed || state == kv.MachineLive, now)
			if !was && s.Leaving() {
				k.log(now, Event{Kind: EventServerLeaving, Target: s.Name})
			}
		}
	}
}

// comeBack spreads refused callers over the time that the excess needs: the
// more were refused in this window, the later and the wider.
func (k *Kernel) comeBack(now time.Time, q *peer.Quota) time.Duration {
	limit := max(1, q.Limit(now))
	windows := 1 + q.RefusedRecently(now)/limit
	return min(time.Duration(windows)*peer.WindowSpan, comeBackMost)
}

// jitter spreads a time to come back over one to two times itself, so that
// callers refused together do not return together.
func (k *Kernel) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + time.Duration(k.random.Int64N(int64(d)))
}

// rows lists the rows in force, for a newcomer.
func (k *Kernel) rows() [][]int {
	var rows [][]int
	for _, r := range k.regions {
		rows = append(rows, r.mover.Row())
	}
	return rows
}

// adoptRows begins where a serving peer is. A newcomer that began at the
// bundle's rows in the middle of a shift would move its whole part of the
// traffic at once; the others are only as far as the cap let them.
func (k *Kernel) adoptRows(m peer.Exchange) {
	if k.bundle == nil || m.Versions.Bundle != k.bundle.Version || len(m.Rows) != len(k.regions) {
		return
	}
	if k.members.Self().State != peer.Joining {
		return
	}
	for i, row := range m.Rows {
		if len(row) != len(k.regions) || region.Row(row).Sum() != region.Full {
			return
		}
		k.regions[i].mover = region.NewMover(row)
	}
	k.rowsKnown = true
}
