package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

// Begin finds the route of a request and its first step.
func (k *Kernel) Begin(now time.Time, r Request) (*Flight, Decision) {
	k.flights++
	f := &Flight{Request: r, number: k.flights, began: now}
	d := k.begin(now, f)
	if k.config.Record != nil {
		given, v := r, verdictOf(d)
		k.config.Record(Call{Do: callBegin, At: now, Flight: f.number, Request: &given, Decision: &v})
	}
	return f, d
}

func (k *Kernel) begin(now time.Time, f *Flight) Decision {
	if k.table == nil {
		return k.finish(now, f, Decision{Reason: ReasonNoTable, NotRun: true, ComeBack: k.comeBack(now, f)})
	}
	f.Route = k.table.Match(f.Host, f.Path)
	if f.Route == nil {
		return k.finish(now, f, Decision{Reason: ReasonNoRoute, NotRun: true})
	}
	if reason := k.identify(f); reason != ReasonNone {
		d := Decision{Reason: reason, NotRun: true}
		if reason == ReasonNoRegion {
			d.ComeBack = comeBackMost
		}
		return k.finish(now, f, d)
	}
	f.Until = now.Add(f.Route.Timeout)
	if !f.Deadline.IsZero() && f.Deadline.Before(f.Until) {
		f.Until = f.Deadline
	}
	if k.leaving && k.end.Before(f.Until) {
		f.Until = k.end
	}
	if !f.Route.Sticky || !k.on(MechanismHomes) {
		// No server is faster for having handled the object, and one home each
		// would only leave some servers with long queues while others idle.
		f.Object = ""
	}
	return k.limit(now, f)
}

// start hands a request that is within its limits to a service.
func (k *Kernel) start(now time.Time, f *Flight) Decision {
	f.Service = k.splitter.Next(f.Route)
	if f.Object != "" {
		k.service(f.Service).demand.Record(now, f.Object)
	}
	return k.send(now, f)
}

// send picks a server or gives up.
func (k *Kernel) send(now time.Time, f *Flight) Decision {
	target, reason := k.place(now, f)
	if target == nil {
		return k.giveUp(now, f, reason)
	}
	return Decision{Server: target, Ask: f.asking}
}

// place picks a server and counts the request in there.
func (k *Kernel) place(now time.Time, f *Flight) (*Target, Reason) {
	g := k.group(f.Service)
	if reason := k.identifyAgain(f); reason != ReasonNone {
		return nil, reason
	}
	if f.Until.Sub(now) < leastLeft && len(f.tried) > 0 {
		return nil, ReasonLate
	}
	if reason := k.rule(now, f); reason != ReasonNone {
		return nil, reason
	}
	s, pick := k.chooseFor(now, f, g)
	if s == nil {
		return nil, k.withheldReason(now, f, g, pick.reason)
	}
	if len(f.steps) == 0 {
		if k.sheds(now, f, g, s) {
			return nil, ReasonQueues
		}
		g.repeats.RecordRequest(now)
	}
	k.quarantine.RecordStart(f.Work)
	f.server, f.sentAt, f.expected, f.warm, f.load = s, now, pick.expected, pick.warm, s.load(now)
	state := s.state(now)
	s.inFlight++
	s.turns++
	s.asks.RecordSent(now)
	f.note(Event{
		At: now, Kind: EventSent, Server: s.id, Domain: s.Domain, Attempt: len(f.steps)/2 + 1, Expected: pick.expected,
		Load: s.load(now), LoadAge: s.loadAge(now), Home: pick.home, Warm: pick.warm,
		Wait: pick.start - s.domain.roundTrip, State: state,
	})
	f.asking, f.rank = k.ask(now, f, g, s, pick), 0
	return k.targetOf(g, s), ReasonNone
}

// chooseFor picks the server for a request, by what is known of its work.
func (k *Kernel) chooseFor(now time.Time, f *Flight, g *service) (*server, pick) {
	if f.suspected {
		return k.chooseIdle(now, f, g)
	}
	return k.choose(now, f, g)
}

func (k *Kernel) targetOf(g *service, s *server) *Target {
	return &Target{Server: s.Server, RoundTrip: s.domain.roundTrip, Connections: k.connections(g)}
}

// Ended takes in how an attempt ended and decides what follows. If the request had
// a place at a gate, the place must be given back.
func (k *Kernel) Ended(now time.Time, f *Flight, a Attempt) Decision {
	release := f.release(f.ratio(now, a))
	d := k.ended(now, f, a)
	d.Release = release
	if k.config.Record != nil {
		given, v := a, verdictOf(d)
		k.config.Record(Call{Do: callEnded, At: now, Flight: f.number, Attempt: &given, Decision: &v})
	}
	return d
}

// ratio is how long the work took at a server that knew the object, as a part of the
// route's target; zero if that is not known. The target stays the same whatever the
// servers do, so figures of different moments and proxies compare. One that was not
// answered in time took so long at least.
func (f *Flight) ratio(now time.Time, a Attempt) float64 {
	if f.asking == nil || !f.warm || f.Route.Target <= 0 || a.Result != Answered && a.Result != Late {
		return 0
	}
	return float64(now.Sub(f.sentAt)-f.server.domain.roundTrip) / float64(f.Route.Target)
}

func (k *Kernel) ended(now time.Time, f *Flight, a Attempt) Decision {
	s := f.server
	s.inFlight--
	if !a.refusedThoughFree(s.Slots) {
		f.tried = append(f.tried, s)
	}
	took := now.Sub(f.sentAt)
	k.learnEnd(now, f, s, a)
	k.learn(now, f, s, a, took)
	f.note(Event{
		At: now, Kind: EventAttemptEnded, Server: s.id, Attempt: len(f.steps)/2 + 1, Result: a.Result,
		Expected: f.expected, Took: took, Load: float64(a.Running + a.Waiting), Err: a.Err,
	})
	switch a.Result {
	case Answered:
		return k.finish(now, f, Decision{Answer: true})
	case Left:
		return k.finish(now, f, Decision{Reason: ReasonLeft})
	case Late:
		f.mayHaveRun = true
		return k.giveUp(now, f, ReasonLate)
	case Unreachable, Withheld:
		f.dials++
		if f.dials >= sendsMost {
			return k.giveUp(now, f, ReasonNoServer)
		}
		return k.send(now, f)
	}
	if a.Result != Mistaken {
		// Another server has the address: none of the service has had it yet.
		f.sends++
	}
	f.dials++
	f.mayHaveRun = f.mayHaveRun || a.Result == Broken || a.Result == Failed
	reason := reasonOf(a.Result)
	if k.mayRepeat(now, f) {
		var target *Target
		if target, reason = k.place(now, f); target != nil {
			return Decision{Server: target, Ask: f.asking}
		}
	}
	if a.Result == Failed {
		// The server's own failure is an answer, and tells more than a refusal.
		return k.finish(now, f, Decision{Answer: true, Reason: ReasonFailed})
	}
	return k.giveUp(now, f, reason)
}

// refusedThoughFree reports whether the server refused the request while it had
// slots to spare. Such a server refuses by chance, and the next request may
// well be taken: it knows the object, and every other would run it cold.
func (a Attempt) refusedThoughFree(slots int) bool {
	return a.Result == Refused && a.Loaded && a.Running < slots && a.Waiting == 0
}

func reasonOf(r Result) Reason {
	if r == Refused || r == Mistaken {
		return ReasonRefused
	}
	return ReasonBroken
}

// mayRepeat decides whether a request that reached a server may go to another.
func (k *Kernel) mayRepeat(now time.Time, f *Flight) bool {
	if f.mayHaveRun && !f.Route.Idempotent {
		return false
	}
	if !k.on(MechanismRepeats) || f.sends >= f.Route.Attempts || f.dials >= sendsMost || f.breaks >= quarantine.MaxConnectionLosses || f.Until.Sub(now) < leastLeft {
		return false
	}
	if !k.service(f.Service).repeats.TrySpend(now, len(k.sharers)) {
		return false
	}
	if f.mayHaveRun && f.Account != nil {
		k.limits.holder.Charge(f.Account.Name)
	}
	return true
}

// giveUp ends a request without an answer, at once.
func (k *Kernel) giveUp(now time.Time, f *Flight, reason Reason) Decision {
	d := Decision{Reason: reason, NotRun: !f.mayHaveRun}
	if f.Account != nil && len(f.steps) == 0 {
		k.limits.holder.Refund(f.Account.Name)
	}
	if d.NotRun {
		d.ComeBack = k.comeBack(now, f)
	}
	if d.NotRun && reason == ReasonWithheld {
		d.ComeBack = k.afterWait(f)
	}
	if d.NotRun && reason == ReasonEndsServers {
		// Its work does not run before its next trial, however soon the caller returns.
		d.ComeBack = f.away
	}
	return k.finish(now, f, d)
}

// note keeps a decision until the request ends.
func (f *Flight) note(e Event) { f.steps = append(f.steps, e) }

// finish tells of a request's end together with the decisions before it.
func (k *Kernel) finish(now time.Time, f *Flight, d Decision) Decision {
	e := Event{
		At: now, Kind: EventFinished, Request: f.ID, Service: f.Service, Object: f.Object, Work: f.Work, Version: k.Version(),
		Outcome: d.Outcome(), Reason: d.Reason, Took: now.Sub(f.began), Attempt: (len(f.steps) + 1) / 2,
		ComeBack: d.ComeBack, Pressure: f.pressure, Steps: f.steps,
	}
	if f.Route != nil {
		e.Route, e.Target = f.Route.Name, f.Route.Target
	}
	if f.Account != nil {
		e.Account = f.Account.Name
	}
	e.Cause, e.State = f.causeOf(now)
	k.config.Observe(e)
	return d
}

// comeBack tells a refused caller when to try again: spread, so that callers
// refused together do not return together.
func (k *Kernel) comeBack(now time.Time, f *Flight) time.Duration {
	most := comeBackMost
	if !f.Deadline.IsZero() {
		most = min(most, f.Deadline.Sub(now)/3)
	}
	if f.soon > 0 {
		most = min(most, f.soon)
	}
	if most <= comeBackLeast {
		return comeBackLeast
	}
	return comeBackLeast + time.Duration(k.random.Int64N(int64(most-comeBackLeast)))
}
