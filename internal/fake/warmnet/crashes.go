package warmnet

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// registrationTTL is how long the registration of a server that has ended stays.
	registrationTTL = 2 * time.Second
	// probeDelay is how long a proxy collects what breaks before it dials and alerts, as
	// the daemon does.
	probeDelay = 50 * time.Millisecond
	// maxRegionAlerts is how many proxies of its own region a proxy alerts at once.
	maxRegionAlerts = 4
)

type (
	// CrashingRequests is work that ends each server that begins to run it.
	CrashingRequests struct {
		// Count is how many different ones there are, PerSecond how often each is asked
		// for by callers of any region.
		Count     int               `json:"works"`
		PerSecond float64           `json:"per-second"`
		From      operator.Duration `json:"from"`
		To        operator.Duration `json:"to"`
		// Delay is how long a run takes until its server ends.
		Delay operator.Duration `json:"after"`
	}

	// RandomCrashes is a time in which servers end by themselves, each drawn at random.
	RandomCrashes struct {
		PerSecond float64           `json:"per-second"`
		From      operator.Duration `json:"from"`
		To        operator.Duration `json:"to"`
	}

	// CrashStats is what became of servers and of the work that was there.
	CrashStats struct {
		// Servers counts those that ended, CausedByRequests those of them that work ended.
		Servers, CausedByRequests int
		// ByCrashingRequest are the moments at which each deadly work has ended a server.
		ByCrashingRequest map[string][]time.Duration
		// HarmlessQuarantined are the works that end no server and were refused because servers ended
		// with them; Refused counts those refusals.
		HarmlessQuarantined map[string]bool
		HarmlessRefused     int
	}

	// crashState carries what proxies find out and tell each other of servers that end.
	crashState struct {
		// pending are the proxies that are about to dial and alert.
		pending      map[*steering.Kernel]bool
		fingerprints map[quarantine.Fingerprint]string
	}
)

// fingerprintOf names the work of a request for an object.
func fingerprintOf(object string) quarantine.Fingerprint {
	return quarantine.NewFingerprint("GET", host, "/"+object, "", nil)
}

// hasCrashes reports whether servers end in this load.
func (l Scenario) hasCrashes() bool { return l.CrashingRequests != nil || l.RandomCrashes != nil }

// scheduleCrashes sets off what ends servers.
func (w *simulation) scheduleCrashes() {
	w.crashes.pending, w.crashes.fingerprints = make(map[*steering.Kernel]bool), make(map[quarantine.Fingerprint]string)
	w.result.Crashes.ByCrashingRequest, w.result.Crashes.HarmlessQuarantined = make(map[string][]time.Duration), make(map[string]bool)
	if d := w.scenario.CrashingRequests; d != nil {
		for i := range d.Count {
			name := fmt.Sprintf("deadly-%d", i)
			w.crashes.fingerprints[fingerprintOf(name)] = name
			w.scheduleRandomly(d.PerSecond, d.From, d.To, func() { w.sendCrashingRequest(name) })
		}
	}
	if s := w.scenario.RandomCrashes; s != nil {
		w.scheduleRandomly(s.PerSecond, s.From, s.To, func() { w.crash(w.servers[w.random.IntN(len(w.servers))]) })
	}
}

// scheduleRandomly does something at random moments of a time.
func (w *simulation) scheduleRandomly(perSecond float64, from, to operator.Duration, do func()) {
	interval := func() time.Duration {
		return time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
	}
	var next func()
	next = func() {
		if w.Now >= to.Std() {
			return
		}
		do()
		w.After(interval(), next)
	}
	w.After(from.Std()+interval(), next)
}

func (w *simulation) sendCrashingRequest(name string) {
	region := w.scenario.Regions[w.random.IntN(len(w.scenario.Regions))].Name
	w.sendToProxy(&request{region: region, startedAt: w.Now, object: name, crashing: true})
}

// crashFromRequest ends the server of deadly work that has run for a while.
func (w *simulation) crashFromRequest(req *request, s *server) {
	if s.crashed {
		return
	}
	w.result.Crashes.CausedByRequests++
	w.result.Crashes.ByCrashingRequest[req.object] = append(w.result.Crashes.ByCrashingRequest[req.object], w.Now)
	w.crash(s)
}

// crash ends a server: all its exchanges break, nothing listens there, and one with a
// new id takes its place after some time.
func (w *simulation) crash(s *server) {
	if s.crashed || s.removed {
		return
	}
	s.crashed = true
	w.result.Crashes.Servers++
	interrupted := append(s.activeRequests, s.queue...)
	s.activeRequests, s.queue, s.running = nil, nil, 0
	for _, req := range interrupted {
		w.endAttempt(req, steering.ResultConnectionLost)
	}
	w.After(registrationTTL, func() { w.removeServer(s) })
	w.After(w.scenario.RestartDelay.Std(), func() {
		s.restarts++
		replacement := &server{id: s.id + "." + strconv.Itoa(s.restarts), region: s.region, index: s.index, serviceTimeFactor: s.serviceTimeFactor}
		for i := range w.servers {
			if w.servers[i] == s {
				w.servers[i] = replacement
			}
		}
		w.byID[replacement.id] = replacement
		w.eachProxy(func(k *steering.Kernel) { k.RegisterServer(w.clock(), w.registration(replacement)) })
	})
}

// scheduleAlert has a proxy dial and alert soon if there is anything to find out or to tell.
func (w *simulation) scheduleAlert(k *steering.Kernel) {
	if !w.scenario.hasCrashes() || !k.QuarantinePending() || w.crashes.pending[k] {
		return
	}
	w.crashes.pending[k] = true
	w.After(probeDelay, func() {
		w.crashes.pending[k] = false
		_, region := w.kernelOf(k.Name())
		for _, s := range k.ServersToProbe() {
			target := w.byID[s.ID]
			w.After(w.roundTrip(region, target.region), func() {
				if target.crashed {
					k.RecordConnectionRefused(w.clock(), target.id)
					w.scheduleAlert(k)
				}
			})
		}
		if k.QuarantineReportsUrgent() {
			w.sendAlerts(k, region)
		}
	})
}

// sendAlerts tells some proxies of the region and one of each other region.
func (w *simulation) sendAlerts(k *steering.Kernel, region string) {
	reports := k.QuarantineReports(w.clock(), false)
	for _, r := range w.scenario.Regions {
		others := w.proxies[r.Name]
		maxAlerts := 1
		if r.Name == region {
			maxAlerts = maxRegionAlerts
		}
		for range min(maxAlerts, len(others)) {
			peer := others[w.random.IntN(len(others))]
			w.After(w.roundTrip(region, r.Name)/2, func() {
				peer.ApplyQuarantineReports(w.clock(), reports)
				w.scheduleAlert(peer)
			})
		}
	}
}

// exchangeQuarantineReports has each proxy exchange what it knows with another one.
func (w *simulation) exchangeQuarantineReports() {
	w.gossip(func(k, peer *steering.Kernel) {
		peer.ApplyQuarantineReports(w.clock(), k.QuarantineReports(w.clock(), false))
		k.ApplyQuarantineReports(w.clock(), peer.QuarantineReports(w.clock(), false))
		w.scheduleAlert(peer)
		w.scheduleAlert(k)
	})
}

// recordQuarantineRefusal counts a refusal because servers ended with the work.
func (w *simulation) recordQuarantineRefusal(req *request, d steering.Decision) {
	if req.crashing || d.Reason != steering.ReasonCrashesServers && d.Reason != steering.ReasonMayCrashServers {
		return
	}
	w.result.Crashes.HarmlessRefused++
	if d.Reason == steering.ReasonCrashesServers {
		w.result.Crashes.HarmlessQuarantined[req.object] = true
	}
}
