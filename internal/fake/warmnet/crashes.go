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
	// registrationTTL is the time after which the registration of a crashed server expires.
	registrationTTL = 2 * time.Second
	// probeDelay is how long a proxy collects lost connections before it probes servers and alerts
	// peers. The proxy daemon uses the same delay.
	probeDelay = 50 * time.Millisecond
	// maxRegionAlerts is the number of proxies of its own region that a proxy alerts at once.
	maxRegionAlerts = 4
)

type (
	// CrashingRequests are requests that crash each server that starts to run them.
	CrashingRequests struct {
		// Count is the number of different requests. PerSecond is the rate at which callers of any
		// region send each of them.
		Count     int               `json:"works"`
		PerSecond float64           `json:"per-second"`
		From      operator.Duration `json:"from"`
		To        operator.Duration `json:"to"`
		// Delay is the time from the start of a run to the crash of the server.
		Delay operator.Duration `json:"after"`
	}

	// RandomCrashes is a period in which servers crash for reasons of their own, each chosen at
	// random.
	RandomCrashes struct {
		PerSecond float64           `json:"per-second"`
		From      operator.Duration `json:"from"`
		To        operator.Duration `json:"to"`
	}

	// CrashStats describes the crashes of servers and the effect of the quarantine on requests.
	CrashStats struct {
		// Servers counts all crashed servers, CausedByRequests those that crashed because of a
		// request.
		Servers, CausedByRequests int
		// ByCrashingRequest holds, for each crashing request, the times at which it crashed a
		// server.
		ByCrashingRequest map[string][]time.Duration
		// HarmlessQuarantined are the objects whose requests crash no server and were quarantined
		// because servers crashed while running them. HarmlessRejected counts all rejections of
		// such requests by the quarantine, also those for a mere suspicion.
		HarmlessQuarantined map[string]bool
		HarmlessRejected    int
	}

	// crashState holds the state behind the crash detection of the proxies.
	crashState struct {
		// pending are the proxies that have scheduled probes and alerts.
		pending      map[*steering.Kernel]bool
		fingerprints map[quarantine.Fingerprint]string
	}
)

// fingerprintOf returns the fingerprint of a request for an object.
func fingerprintOf(object string) quarantine.Fingerprint {
	return quarantine.NewFingerprint("GET", host, "/"+object, "", nil)
}

// hasCrashes reports whether servers crash in this scenario.
func (l Scenario) hasCrashes() bool { return l.CrashingRequests != nil || l.RandomCrashes != nil }

// scheduleCrashes schedules the requests and faults that crash servers.
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

// scheduleRandomly calls a function at random times within a period.
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
	w.sendToProxy(&request{region: region, startedAt: w.Now, route: &w.routes[0], object: name, crashing: true})
}

// crashFromRequest crashes the server of a crashing request that has run for its delay.
func (w *simulation) crashFromRequest(req *request, s *server) {
	if s.crashed {
		return
	}
	w.result.Crashes.CausedByRequests++
	w.result.Crashes.ByCrashingRequest[req.object] = append(w.result.Crashes.ByCrashingRequest[req.object], w.Now)
	w.crash(s)
}

// crash crashes a server: all its connections are lost, it refuses new ones, and after the restart
// delay another server with a new ID replaces it.
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

// scheduleAlert has a proxy probe servers and alert peers after a short delay if its quarantine has
// anything to check or to report.
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

// sendAlerts sends quarantine reports to some proxies of the same region and to one of each other
// region.
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

// exchangeQuarantineReports has each proxy exchange quarantine reports with one peer.
func (w *simulation) exchangeQuarantineReports() {
	w.gossip(func(k, peer *steering.Kernel) {
		peer.ApplyQuarantineReports(w.clock(), k.QuarantineReports(w.clock(), false))
		k.ApplyQuarantineReports(w.clock(), peer.QuarantineReports(w.clock(), false))
		w.scheduleAlert(peer)
		w.scheduleAlert(k)
	})
}

// recordQuarantineRejection counts the rejection of a harmless request by the quarantine.
func (w *simulation) recordQuarantineRejection(req *request, d steering.Decision) {
	if req.crashing || d.Reason != steering.ReasonCrashesServers && d.Reason != steering.ReasonMayCrashServers {
		return
	}
	w.result.Crashes.HarmlessRejected++
	if d.Reason == steering.ReasonCrashesServers {
		w.result.Crashes.HarmlessQuarantined[req.object] = true
	}
}
