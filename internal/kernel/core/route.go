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
	// planInterval is how often target rows are computed.
	planInterval = 500 * time.Millisecond
	// probeInterval is how often an ejected server is probed for its health.
	probeInterval = 500 * time.Millisecond
	// drainingProbeInterval is how often a server that reports that it drains is probed to find
	// out whether it still does.
	drainingProbeInterval = 5 * time.Second
	// rateSampleWeight is the weight of a new sample in the moving average of a rate.
	rateSampleWeight = 0.2
	// lostRegionThreshold is the share of ejected servers at which a region counts as lost.
	lostRegionThreshold = 0.8
	// maxRetryAfter bounds the retry delay given to rejected callers.
	maxRetryAfter = 30 * time.Second
)

type (
	// rateMeter is a moving average of events per second.
	rateMeter struct {
		count int
		rate  float64
	}
)

func (m *rateMeter) sample(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	rate := float64(m.count) / elapsed.Seconds()
	m.rate += rateSampleWeight * (rate - m.rate)
	m.count = 0
}

// advanceShifts recomputes the target rows every planInterval and moves the current rows towards
// them at the pace that the bundle permits.
func (k *Kernel) advanceShifts(now time.Time) {
	if now.Before(k.nextPlan) {
		return
	}
	elapsed := planInterval
	if !k.nextPlan.IsZero() {
		elapsed += now.Sub(k.nextPlan)
	}
	k.nextPlan = now.Add(planInterval)
	lost := make([]bool, len(k.regions))
	for i, r := range k.regions {
		r.demand.sample(elapsed)
		r.rejected.sample(elapsed)
		k.updateRegionHealth(now, r)
		lost[i] = r.lost
	}
	targets := k.planner.Target(k.plannerInput(now))
	planned, failover := k.shiftPaces()
	if k.config.Faults.ShiftUncapped {
		planned.Cap = region.FullShare
		failover.Cap = region.FullShare
	}
	for i, r := range k.regions {
		if n := r.shifter.Advance(now, targets[i], lost, planned, failover); n > 0 {
			k.log(now, Event{Kind: EventShift, Target: r.Name, Detail: strconv.Itoa(n) + " permille"})
		}
	}
}

// shiftPaces returns the bundle's limits on planned shifts and on failover.
func (k *Kernel) shiftPaces() (planned, failover region.ShiftLimit) {
	s := k.bundle.Shift
	return region.ShiftLimit{Cap: s.CapPermille, Interval: s.Interval.Std()},
		region.ShiftLimit{Cap: s.FailoverCapPermille, Interval: s.FailoverInterval.Std()}
}

func (k *Kernel) plannerInput(now time.Time) region.PlannerInput {
	n := len(k.regions)
	in := region.PlannerInput{
		Preferred: preferredRows(k.bundle),
		Current:   make([]region.Row, n),
		Usable:    make([]bool, n),
		Demand:    make([]float64, n),
		Capacity:  make([]int, n),
		Quota:     make([]int, n),
		Rejected:  make([]float64, n),
	}
	for i, r := range k.regions {
		in.Current[i] = r.shifter.Row()
		in.Usable[i] = !r.lost && len(r.servers) > 0 && !k.bundle.IsDrained(operator.DrainRegion, r.Name, now)
		in.Demand[i] = r.demand.rate
		in.Capacity[i] = r.Capacity
		in.Quota[i] = max(0, r.quota.Limit(now))
		if now.Sub(k.startedAt) > startupPeriod {
			// Shortly after the start, quota has not arrived yet and rejections do not indicate a
			// shortage.
			in.Rejected[i] = r.rejected.rate
		}
	}
	return in
}

// preferredRows returns the rows that the bundle configures.
func preferredRows(b *operator.Bundle) []region.Row {
	rows := make([]region.Row, len(b.Regions))
	index := make(map[string]int)
	for i, r := range b.Regions {
		rows[i] = region.SingleRegionRow(len(b.Regions), i)
		index[r.Name] = i
	}
	for _, s := range b.Steering {
		from, to := index[s.From], index[s.To]
		rows[from][from] -= s.Permille
		rows[from][to] += s.Permille
	}
	return rows
}

// updateRegionHealth marks a region as lost once lostRegionThreshold of its servers are ejected,
// and as back as soon as fewer are. Draining servers do not count.
func (k *Kernel) updateRegionHealth(now time.Time, r *regionState) {
	ejected, total := 0, 0
	for _, s := range r.servers {
		if s.Draining() {
			continue
		}
		total++
		if s.Ejected() {
			ejected++
		}
	}
	lost := total > 0 && float64(ejected) >= lostRegionThreshold*float64(total)
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

// probeServers probes ejected servers, since a lost region gets no requests and its recovery would
// go unnoticed. If any server of a region is ejected, it probes the others of the region too, so
// that the loss of the region is detected before each server has failed three requests. It also
// probes servers that report that they drain, at a longer interval.
func (k *Kernel) probeServers(now time.Time, actions []Action) []Action {
	for _, r := range k.regions {
		anyEjected := slices.ContainsFunc(r.servers, (*backend.Server).Ejected)
		for _, s := range r.servers {
			interval := drainingProbeInterval
			if !s.ReportsDraining() {
				interval = probeInterval
			}
			if !anyEjected && !s.ReportsDraining() || !k.serverAccepts(now, s) || !s.ProbeDue(now, interval) {
				continue
			}
			k.backpressureOf(s).RecordSent(now)
			actions = append(actions, SendProbe{Server: s.Name, Address: s.Address})
		}
	}
	return actions
}

// HandleProbeResult processes the result of a health probe.
func (k *Kernel) HandleProbeResult(now time.Time, name string, h backend.Health) {
	if h.ConnectionRefused {
		k.recordServerExit(now, name)
	}
	for _, r := range k.regions {
		for _, s := range r.servers {
			if s.Name != name {
				continue
			}
			if h.Report != nil {
				s.ApplyReport(*h.Report)
				// The time at which the probe was sent is not known, so its result lifts no limit.
				k.backpressure.RecordSignal(now, now, signalKey(s.Name), h.Report.Signal, false)
			}
			s.ApplyProbe(h, now)
		}
	}
}

// applyDraining marks the servers that a drain of the bundle or the VM list takes out of service.
func (k *Kernel) applyDraining(now time.Time) {
	for _, r := range k.regions {
		for _, s := range r.servers {
			wasDraining := s.Draining()
			s.SetDrained(k.bundle.IsDrained(operator.DrainServer, s.Name, now) && !k.config.Faults.DrainingServerUsed)
			state, listed := k.vmList.State(s.Name)
			s.SetListed(!listed || state == kv.VMLive, now)
			if !wasDraining && s.Draining() {
				k.log(now, Event{Kind: EventServerDraining, Target: s.Name})
			}
		}
	}
}

// retryAfter returns the retry delay for callers rejected by a quota. It grows with the number of
// rejections in the current window, which spreads the retries over the time needed to serve the
// excess.
func (k *Kernel) retryAfter(now time.Time, q *peer.Quota) time.Duration {
	limit := max(1, q.Limit(now))
	windows := 1 + q.RecentRejections(now)/limit
	return min(time.Duration(windows)*peer.WindowLength, maxRetryAfter)
}

// jitter returns a random duration between d and 2*d, so that callers rejected together do not
// retry together.
func (k *Kernel) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + time.Duration(k.random.Int64N(int64(d)))
}

// currentRows returns the current rows, for a joining proxy.
func (k *Kernel) currentRows() [][]int {
	var rows [][]int
	for _, r := range k.regions {
		rows = append(rows, r.shifter.Row())
	}
	return rows
}

// adoptRows starts a joining proxy with the rows of a serving peer. If it joined in the middle of a
// shift with the rows of the bundle, it would move its entire share of the traffic at once, while
// the other proxies have only moved as far as the cap permits.
func (k *Kernel) adoptRows(m peer.Exchange) {
	if k.bundle == nil || m.Versions.Bundle != k.bundle.Version || len(m.Rows) != len(k.regions) {
		return
	}
	if k.members.Self().State != peer.StateJoining {
		return
	}
	for i, row := range m.Rows {
		if len(row) != len(k.regions) || region.Row(row).Sum() != region.FullShare {
			return
		}
		k.regions[i].shifter = region.NewShifter(row)
	}
	k.rowsAdopted = true
}
