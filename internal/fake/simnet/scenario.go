package simnet

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	rolloutRetryInterval = 500 * time.Millisecond
)

var (
	// faultHandlers maps the kinds of faults, as named in scenario files, to the functions that
	// inject them.
	faultHandlers = map[string]func(s *Sim, f Fault){
		"kill-proxy":         killProxy,
		"freeze-proxy":       func(s *Sim, f Fault) { s.FreezeProxy(f.index(), f.Duration.Std(), false) },
		"freeze-proxy-clock": func(s *Sim, f Fault) { s.FreezeProxy(f.index(), f.Duration.Std(), true) },
		"stop-proxy":         stopProxy,
		"cut-regions":        cutRegions,
		"lose-region":        failRegion,
		"kill-server":        killServer,
		"deadly-request":     sendCrashingRequests,
		"shed-server":        shedServer,
		"limit-server":       limitServer,
		"pause-server":       pauseServer,
		"leave-server":       advertiseDraining,
		"platform-outage":    platformOutage,
		"lose-answers":       func(s *Sim, f Fault) { s.DropWriteResponses(f.Amount) },
		"save-platform":      func(s *Sim, _ Fault) { s.SavePlatform() },
		"restore-platform":   func(s *Sim, _ Fault) { s.RestorePlatform() },
		"resets":             func(s *Sim, f Fault) { s.checks.SetConnectionResets(f.Amount) },
		"load":               func(s *Sim, f Fault) { s.scaleLoad(f.Amount) },
		"drain-server":       func(s *Sim, f Fault) { s.addDrain(operator.DrainServer, f.Target) },
		"drain-proxy":        func(s *Sim, f Fault) { s.addDrain(operator.DrainProxy, f.Target) },
		"drain-region":       func(s *Sim, f Fault) { s.addDrain(operator.DrainRegion, f.Target) },
		"steer":              func(s *Sim, f Fault) { s.setSteeringRule(f.Target, f.SecondTarget, f.Amount) },
		"capacity":           func(s *Sim, f Fault) { s.setCapacity(f.Target, f.Amount) },
		"old-bundle":         func(s *Sim, _ Fault) { s.restoreFirstBundle() },
		"unlist-proxy":       func(s *Sim, f Fault) { s.SetVMState(s.proxies[f.index()].name, "") },
	}
)

type (
	// Fault is a fault or an operator action, injected at a time after the warm-up.
	Fault struct {
		At           operator.Duration `json:"at"`
		Kind         string            `json:"kind"`
		Target       string            `json:"target,omitempty"`
		SecondTarget string            `json:"second,omitempty"`
		Duration     operator.Duration `json:"for,omitempty"`
		Amount       int               `json:"amount,omitempty"`
	}

	// Scenario is a scripted run, read from a JSON file.
	Scenario struct {
		Description     []string          `json:"story"`
		Seed            uint64            `json:"seed"`
		LoadPercent     int               `json:"load-percent"`
		BookingPermille int               `json:"book-permille"`
		WarmUp          operator.Duration `json:"warm"`
		Duration        operator.Duration `json:"span"`
		Faults          []Fault           `json:"faults"`
		KernelFault     string            `json:"break,omitempty"`
		Expect          Expect            `json:"expect"`
	}

	// Expect holds the expected outcome. Bounds that are zero are not checked, except for
	// MaxUnresolvedBookings.
	Expect struct {
		// Violation is a substring of the violations that the run must report; if it is empty,
		// there must be none.
		Violation string `json:"violation,omitempty"`
		// MinDonePercent is the minimum share of requests that are done.
		MinDonePercent float64 `json:"done-percent,omitempty"`
		// MaxUnresolvedBookings is the maximum number of bookings whose outcome stays unknown.
		MaxUnresolvedBookings int `json:"unsettled"`
		// MaxRolloutTime limits the time until all proxies use the last bundle.
		MaxRolloutTime operator.Duration `json:"in-force,omitempty"`
		// MinGracefulShutdowns is the minimum number of graceful shutdowns that complete.
		MinGracefulShutdowns int `json:"stopped,omitempty"`
		// MaxLastDispatchDelay limits the time from the first fault to the last dispatch to the
		// backend server that the fault targets.
		MaxLastDispatchDelay operator.Duration `json:"last-work,omitempty"`
		// ServerUsedAgain names a backend server that must receive requests in the last ten
		// seconds.
		ServerUsedAgain string `json:"works-again,omitempty"`
		// MaxCrashesAfterDetection is the maximum number of servers that a request may crash after
		// all proxies must know of it, MaxCrashes the maximum in total. Both are checked only if
		// MaxCrashes is set.
		MaxCrashesAfterDetection int `json:"ends-after,omitempty"`
		MaxCrashes               int `json:"ends-at-all,omitempty"`
		// MinExpiredDispatches is the minimum number of dispatches that servers reject after their
		// deadline.
		MinExpiredDispatches int `json:"late,omitempty"`
	}
)

// ParseScenario parses a scenario file.
func ParseScenario(data []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := operator.DecodeStrict(data, s); err != nil {
		return nil, errors.Wrap(err, "scenario")
	}
	for _, f := range s.Faults {
		if faultHandlers[f.Kind] == nil {
			return nil, errors.Errorf("scenario: unknown fault kind %q", f.Kind)
		}
	}
	return s, nil
}

// FaultKinds returns the sorted names of all kinds of faults, for randomised runs.
func FaultKinds() []string {
	names := make([]string, 0, len(faultHandlers))
	for name := range faultHandlers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// KernelFaults maps the names in scenario files to faults of the kernel that each disable one
// safeguard.
func KernelFaults() map[string]core.InjectedFaults {
	return map[string]core.InjectedFaults{
		"":                {},
		"token-reuse":     {TokenReuse: true},
		"loan-doubled":    {LoanCountedTwice: true},
		"shift-uncapped":  {ShiftUncapped: true},
		"bundle-revert":   {BundleRollback: true},
		"leaving-serves":  {DrainingServerUsed: true},
		"fence-off":       {FenceDisabled: true},
		"no-region-quota": {QuotaDisabled: true},
	}
}

// Inject injects a fault now.
func (s *Sim) Inject(f Fault) { faultHandlers[f.Kind](s, f) }

// RunScenario runs a scenario to its end over a base configuration.
func RunScenario(c Config, sc *Scenario) *Sim {
	c.Seed = sc.Seed
	c.BookingPermille = sc.BookingPermille
	c.WarmUp = sc.WarmUp.Std()
	c.KernelFaults = KernelFaults()[sc.KernelFault]
	c.Load = LoadAtPercent(c.Bundle, sc.LoadPercent)
	s := New(c)
	for _, f := range sc.Faults {
		s.After(c.WarmUp+f.At.Std(), func() { s.Inject(f) })
	}
	s.Run(c.WarmUp + sc.Duration.Std())
	s.checks.CheckFinalState()
	return s
}

// LoadAtPercent returns the request rates of the regions at a percentage of their capacity.
func LoadAtPercent(b *operator.Bundle, percent int) []float64 {
	load := make([]float64, len(b.Regions))
	for i, r := range b.Regions {
		load[i] = float64(r.Capacity) * float64(percent) / 100
	}
	return load
}

// index returns the index of the proxy that the fault targets.
func (f Fault) index() int {
	i, _ := strconv.Atoi(f.Target)
	return i
}

// undoLater reverts a fault after its duration, if it has one.
func (s *Sim) undoLater(f Fault, undo func()) {
	if f.Duration > 0 {
		s.After(f.Duration.Std(), undo)
	}
}

func killProxy(s *Sim, f Fault) {
	s.KillProxy(f.index())
	s.undoLater(f, func() { s.RestartProxy(f.index()) })
}

func stopProxy(s *Sim, f Fault) {
	s.StopProxy(f.index())
	s.undoLater(f, func() { s.RestartProxy(f.index()) })
}

func cutRegions(s *Sim, f Fault) {
	s.SetPartitioned(f.Target, f.SecondTarget, true)
	s.undoLater(f, func() { s.SetPartitioned(f.Target, f.SecondTarget, false) })
}

func failRegion(s *Sim, f Fault) {
	s.SetRegionDown(f.Target, true)
	s.undoLater(f, func() { s.SetRegionDown(f.Target, false) })
}

func killServer(s *Sim, f Fault) {
	s.servers[f.Target].setDown(true)
	s.undoLater(f, func() { s.servers[f.Target].setDown(false) })
}

// sendCrashingRequests makes callers of all regions send a service requests that crash its servers,
// Amount of them per ten seconds.
func sendCrashingRequests(s *Sim, f Fault) {
	until := s.now.Add(f.Duration.Std())
	gap := 10 * time.Second / time.Duration(max(1, f.Amount))
	var next func()
	next = func() {
		if s.now.After(until) {
			return
		}
		s.callers.sendCrashingRequest(f.Target)
		s.After(gap, next)
	}
	next()
}

func shedServer(s *Sim, f Fault) {
	s.servers[f.Target].shedAll = true
	s.undoLater(f, func() { s.servers[f.Target].shedAll = false })
}

// pauseServer makes a server reject all requests and request a pause with each rejection, of Amount
// tenths of a second.
func pauseServer(s *Sim, f Fault) {
	server := s.servers[f.Target]
	server.shedAll, server.pause = true, time.Duration(f.Amount)*100*time.Millisecond
	s.undoLater(f, func() { server.shedAll, server.pause = false, 0 })
}

// advertiseDraining makes a server advertise that it is draining, for the fault's duration or for
// good.
func advertiseDraining(s *Sim, f Fault) {
	s.servers[f.Target].advertisesDraining = true
	s.undoLater(f, func() { s.servers[f.Target].advertisesDraining = false })
}

// limitServer makes a server advertise a limit of Amount requests per ten seconds.
func limitServer(s *Sim, f Fault) {
	server := s.servers[f.Target]
	server.limit = backpressure.Limit{Set: true, PerSecond: float64(f.Amount) / 10}
	s.checks.serverLimits[f.Target] = &limitCheck{advertisedAt: s.now, knownSince: make(map[string]time.Time)}
	s.undoLater(f, func() {
		server.limit = backpressure.Limit{}
		delete(s.checks.serverLimits, f.Target)
	})
}

func platformOutage(s *Sim, f Fault) {
	s.SetPlatformDown(true)
	s.undoLater(f, func() { s.SetPlatformDown(false) })
}

// scaleLoad sets the request rates to a percentage of the capacities.
func (s *Sim) scaleLoad(percent int) {
	for i, rate := range LoadAtPercent(s.config.Bundle, percent) {
		s.SetLoad(i, rate)
	}
}

// rollOutChange rolls out the next bundle, as an operator does through a random proxy. While the
// platform is down or that proxy is not running, the rollout is rejected and the operator retries.
// The proxy that it goes through applies the bundle at once.
func (s *Sim) rollOutChange(modify func(b *operator.Bundle)) {
	proxy := s.proxies[s.random.IntN(len(s.proxies))]
	if s.platform.down || !proxy.alive || proxy.frozen {
		s.After(rolloutRetryInterval, func() { s.rollOutChange(modify) })
		return
	}
	var b operator.Bundle
	if err := json.Unmarshal(s.currentBundle.Encode(), &b); err != nil {
		panic("simnet: " + err.Error())
	}
	b.Version++
	modify(&b)
	s.Rollout(&b)
	data := s.platform.values[keyBundle].Data
	proxy.after(platformDelay, func() { proxy.kernel.ApplyBundle(proxy.now(), data) })
}

// addDrain rolls out a drain that starts now.
func (s *Sim) addDrain(kind operator.DrainKind, target string) {
	s.rollOutChange(func(b *operator.Bundle) {
		b.Drains = append(b.Drains, operator.Drain{
			Name: "drain-" + strconv.Itoa(len(b.Drains)), Kind: kind, Target: target, Start: s.now,
		})
		s.logEvent("drain %s %s", kind, target)
	})
}

// setSteeringRule rolls out a bundle with this steering rule as its only one.
func (s *Sim) setSteeringRule(from, to string, permille int) {
	s.rollOutChange(func(b *operator.Bundle) {
		b.Steering = []operator.SteeringRule{{From: from, To: to, Permille: permille}}
		s.logEvent("steer %d from %s to %s", permille, from, to)
	})
}

// setCapacity rolls out a new capacity of a region.
func (s *Sim) setCapacity(name string, amount int) {
	s.rollOutChange(func(b *operator.Bundle) {
		r, _ := b.Region(name)
		r.Capacity = amount
		s.logEvent("capacity of %s to %d", name, amount)
	})
}

// restoreFirstBundle stores the first bundle on the platform again, with valid signatures, as a
// manual restore does.
func (s *Sim) restoreFirstBundle() {
	e, err := s.config.Author.Propose(s.config.Bundle)
	if err == nil {
		err = s.config.Approver.Approve(e)
	}
	if err != nil {
		panic("simnet: " + err.Error())
	}
	s.logEvent("first bundle stored on the platform again")
	s.platform.put(kv.KeyBundle, e.Encode())
}
