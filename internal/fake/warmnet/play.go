package warmnet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/fake/schedule"
	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// AllSeeing is a placer of this package: it knows every server's queue and
	// memory as they are and takes the server that answers first. It is greedy,
	// so a plan for the objects may do a little better.
	AllSeeing = "all-seeing"

	service  = "service"
	host     = "host"
	workVary = 0.15
	// accountsInAll is how many accounts there are, which send alike.
	accountsInAll = 10
	// calmShare is the rate while a load is calm, as a part of the load's.
	calmShare = 0.5
)

type (
	world struct {
		schedule.Schedule
		load    Load
		random  *rand.Rand
		servers []*server
		byID    map[string]*server
		proxies map[string][]*steering.Kernel
		// listed are the proxies that know of each other.
		listed  []steering.Proxy
		out     Outcome
		inRange map[string]int
		asked   map[string]int
		oracle  bool
		// holds passes what proxies tell each other of gates.
		holds  holds
		record func(steering.Call)
		// upTo sums how often the objects up to each one are asked for, if they
		// differ.
		upTo   []float64
		shares shares
		ends   ends
		limits limits
		// leaves are when proxies heard that servers leave.
		leaves news
		pauses pauses
	}

	job struct {
		kernel *steering.Kernel
		flight *steering.ActiveRequest
		// region is the caller's, entry that of the proxy that it asks.
		region string
		entry  string
		began  time.Duration
		// asked is when its caller sent it last.
		asked   time.Duration
		server  *server
		object  string
		returns int
		// credential is that of the caller's account, if there are any.
		credential account.Credential
		// deadly work ends its server.
		deadly bool
	}
)

// Play plays a load with a placer. Equal arguments give equal outcomes.
func Play(l Load, placer string, seed uint64) Outcome { return play(l, placer, seed, nil) }

// play does so and records the calls of the first proxy's kernel.
func play(l Load, placer string, seed uint64, record func(steering.Call)) Outcome {
	w := &world{
		record: record,
		load:   l, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]*server),
		proxies: make(map[string][]*steering.Kernel), inRange: make(map[string]int), asked: make(map[string]int),
		shares: make(shares),
		oracle: placer == AllSeeing,
	}
	if w.oracle {
		placer = steering.DefaultPlacer
	}
	w.build(placer, seed)
	for i, r := range l.Regions {
		w.arrivals(i, r)
	}
	if l.Leave > 0 {
		w.After(l.Leave.Std(), w.leave)
	}
	if l.Release != nil {
		w.After(l.Release.From.Std(), func() { w.replace(0) })
	}
	if len(l.Stranded) > 0 {
		w.After(l.StrandAt.Std(), w.strand)
	}
	if l.hasEnds() {
		w.playEnds()
	}
	w.playLeaving()
	if len(l.Stranded) > 0 || l.Knee > 0 || l.hasEnds() || l.asksOfSenders() {
		w.After(tickEvery, w.tick)
	}
	for w.RunNext() {
	}
	w.out.ByRegion = make(map[string]float64)
	for region, n := range w.asked {
		w.out.ByRegion[region] = float64(w.inRange[region]) / float64(max(1, n))
	}
	w.out.Shifted = w.shares.shifted()
	w.out.Limits, w.out.Pauses = w.limits.judge(l.Limited), w.pauses.judge()
	slices.Sort(w.out.Times)
	return w.out
}

func (w *world) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.Now) }

func (w *world) build(placer string, seed uint64) {
	regionOf := make(map[string]string)
	for _, r := range w.load.Regions {
		regionOf[r.Name+"-a"] = r.Name
		for i := range r.Servers {
			s := &server{id: serverID(r.Name, i), region: r.Name, number: i, slow: 1}
			if n := len(w.load.Speeds); n > 0 {
				s.slow = w.load.Speeds[len(w.servers)%n]
			}
			w.servers = append(w.servers, s)
			w.byID[s.id] = s
		}
	}
	for _, r := range w.load.Regions {
		for i := range w.load.Proxies {
			w.listed = append(w.listed, steering.Proxy{Name: fmt.Sprintf("%s-proxy-%d", r.Name, i), Domain: r.Name + "-a", Region: r.Name})
		}
	}
	for i, p := range w.listed {
		var record func(steering.Call)
		if i == 0 {
			record = w.record
		}
		k := steering.New(steering.Config{
			Record: record,
			Name:   p.Name, Domain: p.Domain, Off: w.load.Off, EndsToCondemn: w.load.EndsToCondemn, Region: p.Region, RegionOf: regionOf, Placer: placer, Seed: [32]byte{byte(i), byte(seed), byte(i >> 8)},
			Bounds: steering.Bounds{
				Retry: steering.RetryBudget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}, ColdFactor: 1.5, ColdSlack: 5,
			},
		})
		k.SetProxies(time.Time{}, w.listed)
		w.configure(k, p.Region)
		w.proxies[p.Region] = append(w.proxies[p.Region], k)
	}
}

func (w *world) configure(k *steering.Kernel, region string) {
	route := &routing.Route{
		Name: "route", Host: host, Prefix: "/", Idempotent: true, Attempts: 2, Sticky: !w.load.Plain,
		Timeout: w.load.Timeout.Std(), Target: w.load.Target.Std(), Parts: []routing.WeightedService{{Service: service, Weight: 1}},
	}
	bounds := &routing.Service{Name: service, Connections: w.load.Connections}
	k.SetTable(routing.NewTable(1, []*routing.Route{route}, []*routing.Service{bounds}, routing.Limits{}).WithAccounts(w.accounts()))
	for _, s := range w.servers {
		k.RegisterServer(w.clock(), w.registration(s))
		k.RecordRoundTrip(s.region+"-a", w.roundTrip(region, s.region))
	}
}

// accounts are those of the callers, if some are bound to a region.
func (w *world) accounts() *account.Table {
	if w.load.Bound == 0 {
		return nil
	}
	var list []*account.Account
	for i := range accountsInAll {
		a := &account.Account{Name: strconv.Itoa(i), Keys: []account.Key{accountKey(i)}}
		if float64(i) < w.load.Bound*accountsInAll {
			a.Regions = []string{w.load.BoundTo}
		}
		list = append(list, a)
	}
	table, _ := account.NewTable(list)
	return table
}

func accountKey(i int) account.Key {
	key, _ := account.HashKey("key-" + strconv.Itoa(i))
	return key
}

func (w *world) registration(s *server) routing.Server {
	return routing.Server{ID: s.id, Service: service, Domain: s.region + "-a", Slots: w.load.Slots}
}

func (w *world) roundTrip(a, b string) time.Duration {
	if a == b {
		return time.Millisecond
	}
	return w.load.RoundTrip.Std()
}

// arrivals makes one region's callers ask, at random moments.
func (w *world) arrivals(i int, r Region) {
	most := r.PerSecond * (1 + w.load.Swing)
	if w.load.Surge != nil {
		most *= max(1, w.load.Surge.Times)
	}
	pause := func() time.Duration { return time.Duration(w.random.ExpFloat64() / most * float64(time.Second)) }
	var next func()
	next = func() {
		if w.Now >= w.load.Span.Std() {
			return
		}
		// Moments at the highest rate are thinned out to the rate of now.
		if w.load.even() || w.random.Float64()*most < r.PerSecond*w.wave(i) {
			w.ask(i, r.Name)
		}
		w.After(pause(), next)
	}
	w.After(pause(), next)
}

// wave is a region's rate now, as a part of its mean.
func (w *world) wave(i int) float64 {
	if w.Now < w.load.Calm.Std() {
		return calmShare
	}
	if w.load.Surge.in(w.load.Regions[i].Name, w.Now) {
		return w.load.Surge.Times
	}
	if w.load.Swing == 0 {
		return 1
	}
	turns := w.Now.Seconds()/w.load.Period.Std().Seconds() + float64(i)/float64(len(w.load.Regions))
	return 1 + w.load.Swing*math.Sin(2*math.Pi*turns)
}

func (w *world) ask(i int, region string) {
	w.out.Asked++
	w.asked[region]++
	object := ""
	if !w.load.Anonymous {
		object = strconv.FormatInt(int64(i*w.load.Objects+w.draw()), 16)
	}
	j := &job{region: region, began: w.Now, object: object, returns: w.load.Returns}
	if w.load.Bound > 0 {
		j.credential = account.Credential{State: account.CredentialPresent, Key: accountKey(w.random.IntN(accountsInAll))}
	}
	w.begin(j)
}

// draw draws an object among those of one region.
func (w *world) draw() int {
	if w.load.Skew == 0 {
		return w.random.IntN(w.load.Objects)
	}
	if len(w.upTo) == 0 {
		sum := 0.0
		for n := range w.load.Objects {
			sum += math.Pow(float64(n+1), -w.load.Skew)
			w.upTo = append(w.upTo, sum)
		}
	}
	i, _ := slices.BinarySearch(w.upTo, w.random.Float64()*w.upTo[len(w.upTo)-1])
	return i
}

// begin brings a caller to one of its region's proxies, or to any if it has none.
func (w *world) begin(j *job) {
	j.kernel, j.entry = w.entry(j.region)
	j.asked = w.Now
	if j.entry == j.region {
		w.receive(j)
		return
	}
	w.After(w.roundTrip(j.region, j.entry)/2, func() { w.receive(j) })
}

func (w *world) receive(j *job) {
	flight, decision := j.kernel.BeginRequest(w.clock(), steering.Request{ID: strconv.Itoa(w.out.Asked), Host: host, Path: "/", Object: j.object, Work: workOf(j.object), Credential: j.credential})
	j.flight = flight
	w.follow(j, decision)
}

func (w *world) follow(j *job, d steering.Decision) {
	if d.SlotRelease != nil {
		w.release(j.entry, *d.SlotRelease)
	}
	w.endsRefused(j, d)
	w.stir(j.kernel)
	switch {
	case d.SlotRequest != nil && !w.oracle:
		w.askFor(j, *d.SlotRequest)
	case d.Server != nil:
		s := w.byID[d.Server.ID]
		if w.oracle {
			s = w.best(j)
		}
		j.server = s
		w.shares.sent(w.Now, j.region, s.region)
		w.After(w.roundTrip(j.entry, s.region)/2, func() { w.arrive(j) })
	case d.ReturnResponse && j.entry != j.region:
		w.After(w.roundTrip(j.region, j.entry)/2, func() { w.answered(j) })
	case d.ReturnResponse:
		w.answered(j)
	case j.deadly:
	case d.NotRun && j.returns > 0:
		j.returns--
		w.After(d.RetryAfter, func() { w.begin(j) })
	case d.NotRun:
		w.out.Refused++
	default:
		w.out.Failed++
	}
}

// best is the all-seeing choice: the server that answers first.
func (w *world) best(j *job) *server {
	var best *server
	least := time.Duration(math.MaxInt64)
	for _, s := range w.servers {
		if s.gone || w.away(s) {
			continue
		}
		work := time.Duration(float64(w.load.Work.Std()) * w.slowness(s))
		warm := time.Duration(float64(work) * w.load.WarmShare)
		if s.knows(j.flight.Object) {
			work = warm
		} else {
			work += warm
		}
		busy := max(0, s.running+len(s.waiting)+1-w.load.Slots)
		took := w.roundTrip(j.entry, s.region) + work + time.Duration(busy)*warm/time.Duration(w.load.Slots)
		if took < least {
			best, least = s, took
		}
	}
	return best
}

func (w *world) answered(j *job) {
	took := w.Now - j.began
	w.out.Times = append(w.out.Times, took)
	if took <= w.load.Target.Std() {
		w.out.InTarget++
		w.inRange[j.region]++
		return
	}
	w.out.Late++
}

func (w *world) arrive(j *job) {
	s := j.server
	w.limits.arrived(w.Now, s.id, j.kernel.Name())
	w.left(j)
	w.pauses.arrived(w.Now, s.id, j.kernel.Name())
	refuses := w.Now >= w.load.RefuseFrom.Std() && w.Now < w.load.RefuseTo.Std() && w.random.Float64() < w.load.RefuseShare
	switch {
	case w.away(s):
		s.recent = nil
		w.end(j, steering.ResultUnreachable)
	case s.ended:
		w.endWith(j, steering.Attempt{Result: steering.ResultUnreachable, Refusing: true})
	case w.load.pause(s, w.Now) > 0:
		w.pauses.asked(w.Now, w.load.pause(s, w.Now), s.id, j.kernel.Name())
		w.end(j, steering.ResultRefused)
	case s.gone || refuses || s.running >= w.load.Slots && len(s.waiting) >= w.load.Queue:
		w.end(j, steering.ResultRefused)
	case s.running < w.load.Slots:
		w.run(j)
	default:
		s.waiting = append(s.waiting, j)
	}
}

func (w *world) run(j *job) {
	s := j.server
	s.running++
	s.now = append(s.now, j)
	if j.deadly {
		w.After(w.load.Deadly.After.Std(), func() { w.deadlyRan(j, s) })
		return
	}
	work := float64(w.load.Work.Std()) * w.slowness(s) * w.vary()
	if w.load.Knee > 0 && float64(s.running) > w.load.Knee*float64(w.load.Slots) {
		work *= w.load.KneeTimes
	}
	if s.knows(j.flight.Object) {
		work *= w.load.WarmShare
	} else {
		w.out.First++
	}
	s.remember(j.flight.Object, w.load.Remember)
	w.After(time.Duration(work), func() {
		if s.ended {
			return
		}
		s.running--
		s.now = slices.DeleteFunc(s.now, func(other *job) bool { return other == j })
		w.end(j, steering.ResultAnswered)
		for len(s.waiting) > 0 && s.running < w.load.Slots {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			if w.clock().After(next.flight.ExpiresAt) {
				w.end(next, steering.ResultTimeout)
				continue
			}
			w.run(next)
		}
	})
}

// slowness is how many times as long a server takes now.
func (w *world) slowness(s *server) float64 {
	if s.number < max(1, w.load.SlowServers) && w.Now >= w.load.SlowFrom.Std() && w.Now < w.load.SlowTo.Std() {
		return s.slow * w.load.SlowBy
	}
	return s.slow
}

// vary is one request's work as a part of the mean.
func (w *world) vary() float64 {
	if w.load.Spread > 0 {
		return math.Exp(w.load.Spread*w.random.NormFloat64() - w.load.Spread*w.load.Spread/2)
	}
	return 1 + workVary*(2*w.random.Float64()-1)
}

// end brings the result back to the proxy.
func (w *world) end(j *job, result steering.Result) {
	attempt := steering.Attempt{Result: result}
	if !w.load.Mute && result != steering.ResultConnectionLost {
		attempt.Loaded, attempt.Running, attempt.Waiting = true, j.server.running, len(j.server.waiting)
		if result == steering.ResultAnswered {
			// A server that answers counts the request that it answers.
			attempt.Running++
		}
	}
	w.endWith(j, attempt)
}

// endWith brings an attempt's end back to the proxy.
func (w *world) endWith(j *job, attempt steering.Attempt) {
	attempt.Signal = w.signal(j.server, attempt.Result)
	w.After(w.roundTrip(j.entry, j.server.region)/2, func() {
		w.told(j, attempt.Signal)
		if attempt.Result == steering.ResultAnswered && w.clock().After(j.flight.ExpiresAt) {
			// The proxy has gone before the server's word arrives.
			attempt = steering.Attempt{Result: steering.ResultTimeout}
		}
		w.follow(j, j.kernel.EndAttempt(w.clock(), j.flight, attempt))
	})
}
