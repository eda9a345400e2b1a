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
	// endedLapse is how long the registration of a server that has ended stays.
	endedLapse = 2 * time.Second
	// dialAfter is how long a proxy collects what breaks before it dials and alerts, as
	// the daemon does.
	dialAfter = 50 * time.Millisecond
	// alertsMost is how many proxies of its own region a proxy alerts at once.
	alertsMost = 4
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
		// due are the proxies that are about to dial and alert.
		due    map[*steering.Kernel]bool
		deadly map[quarantine.Fingerprint]string
	}
)

// workOf names the work of a request for an object.
func workOf(object string) quarantine.Fingerprint {
	return quarantine.NewFingerprint("GET", host, "/"+object, "", nil)
}

// hasCrashes reports whether servers end in this load.
func (l Scenario) hasCrashes() bool { return l.CrashingRequests != nil || l.RandomCrashes != nil }

// playEnds sets off what ends servers.
func (w *simulation) playEnds() {
	w.ends.due, w.ends.deadly = make(map[*steering.Kernel]bool), make(map[quarantine.Fingerprint]string)
	w.out.Crashes.ByCrashingRequest, w.out.Crashes.HarmlessQuarantined = make(map[string][]time.Duration), make(map[string]bool)
	if d := w.load.CrashingRequests; d != nil {
		for i := range d.Count {
			name := fmt.Sprintf("deadly-%d", i)
			w.ends.deadly[workOf(name)] = name
			w.repeat(d.PerSecond, d.From, d.To, func() { w.askDeadly(name) })
		}
	}
	if s := w.load.RandomCrashes; s != nil {
		w.repeat(s.PerSecond, s.From, s.To, func() { w.finish(w.servers[w.random.IntN(len(w.servers))]) })
	}
}

// repeat does something at random moments of a time.
func (w *simulation) repeat(perSecond float64, from, to operator.Duration, do func()) {
	pause := func() time.Duration {
		return time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
	}
	var next func()
	next = func() {
		if w.Now >= to.Std() {
			return
		}
		do()
		w.After(pause(), next)
	}
	w.After(from.Std()+pause(), next)
}

func (w *simulation) askDeadly(name string) {
	region := w.load.Regions[w.random.IntN(len(w.load.Regions))].Name
	w.begin(&request{region: region, began: w.Now, object: name, deadly: true})
}

// deadlyRan ends the server of deadly work that has run for a while.
func (w *simulation) deadlyRan(j *request, s *server) {
	if s.ended {
		return
	}
	w.out.Crashes.CausedByRequests++
	w.out.Crashes.ByCrashingRequest[j.object] = append(w.out.Crashes.ByCrashingRequest[j.object], w.Now)
	w.finish(s)
}

// finish ends a server: all its exchanges break, nothing listens there, and one with a
// new id takes its place after some time.
func (w *simulation) finish(s *server) {
	if s.ended || s.gone {
		return
	}
	s.ended = true
	w.out.Crashes.Servers++
	jobs := append(s.now, s.waiting...)
	s.now, s.waiting, s.running = nil, nil, 0
	for _, j := range jobs {
		w.end(j, steering.ResultConnectionLost)
	}
	w.After(endedLapse, func() { w.remove(s) })
	w.After(w.load.RestartDelay.Std(), func() {
		s.starts++
		again := &server{id: s.id + "." + strconv.Itoa(s.starts), region: s.region, number: s.number, slow: s.slow}
		for i := range w.servers {
			if w.servers[i] == s {
				w.servers[i] = again
			}
		}
		w.byID[again.id] = again
		w.each(func(k *steering.Kernel) { k.RegisterServer(w.clock(), w.registration(again)) })
	})
}

// stir has a proxy dial and alert soon if there is anything to find out or to tell.
func (w *simulation) stir(k *steering.Kernel) {
	if !w.load.hasCrashes() || !k.QuarantinePending() || w.ends.due[k] {
		return
	}
	w.ends.due[k] = true
	w.After(dialAfter, func() {
		w.ends.due[k] = false
		_, region := w.kernelOf(k.Name())
		for _, s := range k.ServersToProbe() {
			known := w.byID[s.ID]
			w.After(w.roundTrip(region, known.region), func() {
				if known.ended {
					k.RecordConnectionRefused(w.clock(), known.id)
					w.stir(k)
				}
			})
		}
		if k.QuarantineReportsUrgent() {
			w.alert(k, region)
		}
	})
}

// alert tells some proxies of the region and one of each other region.
func (w *simulation) alert(k *steering.Kernel, region string) {
	list := k.QuarantineReports(w.clock(), false)
	for _, r := range w.load.Regions {
		others := w.proxies[r.Name]
		most := 1
		if r.Name == region {
			most = alertsMost
		}
		for range min(most, len(others)) {
			to := others[w.random.IntN(len(others))]
			w.After(w.roundTrip(region, r.Name)/2, func() {
				to.ApplyQuarantineReports(w.clock(), list)
				w.stir(to)
			})
		}
	}
}

// tellSuspicions has each proxy exchange what it knows with another one.
func (w *simulation) tellSuspicions() {
	w.gossip(func(k, to *steering.Kernel) {
		to.ApplyQuarantineReports(w.clock(), k.QuarantineReports(w.clock(), false))
		k.ApplyQuarantineReports(w.clock(), to.QuarantineReports(w.clock(), false))
		w.stir(to)
		w.stir(k)
	})
}

// endsRefused counts a refusal because servers ended with the work.
func (w *simulation) endsRefused(j *request, d steering.Decision) {
	if j.deadly || d.Reason != steering.ReasonCrashesServers && d.Reason != steering.ReasonMayCrashServers {
		return
	}
	w.out.Crashes.HarmlessRefused++
	if d.Reason == steering.ReasonCrashesServers {
		w.out.Crashes.HarmlessQuarantined[j.object] = true
	}
}
