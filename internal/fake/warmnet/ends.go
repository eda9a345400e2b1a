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
	// Deadly is work that ends each server that begins to run it.
	Deadly struct {
		// Works is how many different ones there are, PerSecond how often each is asked
		// for by callers of any region.
		Works     int               `json:"works"`
		PerSecond float64           `json:"per-second"`
		From      operator.Duration `json:"from"`
		To        operator.Duration `json:"to"`
		// After is how long a run takes until its server ends.
		After operator.Duration `json:"after"`
	}

	// Storm is a time in which servers end by themselves, each drawn at random.
	Storm struct {
		PerSecond float64           `json:"per-second"`
		From      operator.Duration `json:"from"`
		To        operator.Duration `json:"to"`
	}

	// Ends is what became of servers and of the work that was there.
	Ends struct {
		// Servers counts those that ended, ByWork those of them that work ended.
		Servers, ByWork int
		// Deadly are the moments at which each deadly work has ended a server.
		Deadly map[string][]time.Duration
		// Sound are the works that end no server and were refused because servers ended
		// with them; Refused counts those refusals.
		Sound   map[string]bool
		Refused int
	}

	// ends carries what proxies find out and tell each other of servers that end.
	ends struct {
		// due are the proxies that are about to dial and alert.
		due    map[*steering.Kernel]bool
		deadly map[quarantine.Fingerprint]string
	}
)

// workOf names the work of a request for an object.
func workOf(object string) quarantine.Fingerprint {
	return quarantine.NewFingerprint("GET", host, "/"+object, "", nil)
}

// hasEnds reports whether servers end in this load.
func (l Load) hasEnds() bool { return l.Deadly != nil || l.Storm != nil }

// playEnds sets off what ends servers.
func (w *world) playEnds() {
	w.ends.due, w.ends.deadly = make(map[*steering.Kernel]bool), make(map[quarantine.Fingerprint]string)
	w.out.Ends.Deadly, w.out.Ends.Sound = make(map[string][]time.Duration), make(map[string]bool)
	if d := w.load.Deadly; d != nil {
		for i := range d.Works {
			name := fmt.Sprintf("deadly-%d", i)
			w.ends.deadly[workOf(name)] = name
			w.repeat(d.PerSecond, d.From, d.To, func() { w.askDeadly(name) })
		}
	}
	if s := w.load.Storm; s != nil {
		w.repeat(s.PerSecond, s.From, s.To, func() { w.finish(w.servers[w.random.IntN(len(w.servers))]) })
	}
}

// repeat does something at random moments of a time.
func (w *world) repeat(perSecond float64, from, to operator.Duration, do func()) {
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

func (w *world) askDeadly(name string) {
	region := w.load.Regions[w.random.IntN(len(w.load.Regions))].Name
	w.begin(&job{region: region, began: w.Now, object: name, deadly: true})
}

// deadlyRan ends the server of deadly work that has run for a while.
func (w *world) deadlyRan(j *job, s *server) {
	if s.ended {
		return
	}
	w.out.Ends.ByWork++
	w.out.Ends.Deadly[j.object] = append(w.out.Ends.Deadly[j.object], w.Now)
	w.finish(s)
}

// finish ends a server: all its exchanges break, nothing listens there, and one with a
// new id takes its place after some time.
func (w *world) finish(s *server) {
	if s.ended || s.gone {
		return
	}
	s.ended = true
	w.out.Ends.Servers++
	jobs := append(s.now, s.waiting...)
	s.now, s.waiting, s.running = nil, nil, 0
	for _, j := range jobs {
		w.end(j, steering.ResultConnectionLost)
	}
	w.After(endedLapse, func() { w.remove(s) })
	w.After(w.load.Back.Std(), func() {
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
func (w *world) stir(k *steering.Kernel) {
	if !w.load.hasEnds() || !k.QuarantinePending() || w.ends.due[k] {
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
func (w *world) alert(k *steering.Kernel, region string) {
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
func (w *world) tellSuspicions() {
	w.gossip(func(k, to *steering.Kernel) {
		to.ApplyQuarantineReports(w.clock(), k.QuarantineReports(w.clock(), false))
		k.ApplyQuarantineReports(w.clock(), to.QuarantineReports(w.clock(), false))
		w.stir(to)
		w.stir(k)
	})
}

// endsRefused counts a refusal because servers ended with the work.
func (w *world) endsRefused(j *job, d steering.Decision) {
	if j.deadly || d.Reason != steering.ReasonCrashesServers && d.Reason != steering.ReasonMayCrashServers {
		return
	}
	w.out.Ends.Refused++
	if d.Reason == steering.ReasonCrashesServers {
		w.out.Ends.Sound[j.object] = true
	}
}
