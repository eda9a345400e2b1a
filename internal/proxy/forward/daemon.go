package forward

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/forwardhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/peerdrpc"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// tickEvery is how late what has run out may be noticed.
	tickEvery = 200 * time.Millisecond
	// measureEvery is the pause between rounds of measuring, measureLimit the
	// longest round trip that is waited for.
	measureEvery = time.Second
	measureLimit = 500 * time.Millisecond
)

type (
	// Daemon is one proxy process.
	Daemon struct {
		settings *Settings
		seams    Seams
		start    time.Time

		mu     sync.Mutex
		kernel *steering.Kernel
		// inForce are the bounds in force; those of settings are the first.
		inForce     Bounds
		suspensions suspensions

		callers *http.Server
		// callerConnections is what callers' connections are accepted by.
		callerConnections *forwardhttp.Listener
		servers           *serverhttp.Client
		readiness         *http.Server
		directory         *http.Server
		operators         *http.Server
		journal           *journal
		meters            *meters
		feed              *feed
		follower          *follower
		gossip            *gossip
		keeper            *keeper
		peers             *peerdrpc.Client
		places            *places
		verdicts          *verdicts
		quotas            *quotas

		stopping chan struct{}
		// stirred asks for suspicions to be followed soon.
		stirred chan struct{}
	}
)

// New makes a daemon from checked settings.
func New(s *Settings, seams Seams) (*Daemon, error) {
	config := steering.Config{
		Name: s.Name, Domain: s.Domain, Region: s.Region, Address: s.Listen.Callers, RegionOf: s.RegionOf,
		Bounds: boundsOf(s), Joined: time.Now(), Off: s.Off,
	}
	if _, err := rand.Read(config.Seed[:]); err != nil {
		return nil, errors.Wrap(err, "seed")
	}
	d := &Daemon{settings: s, seams: seams, start: config.Joined, inForce: s.Bounds, stopping: make(chan struct{}), stirred: make(chan struct{}, 1)}
	d.meters = newMeters()
	d.journal = newJournal(s.Name, d.now, d.meters)
	config.Observe, config.Record = d.observe, seams.Record
	d.kernel = steering.New(config)
	d.operators = (&steeringhttp.Server{Status: d.status, Events: d.journal.events, Metrics: d.meters.set}).HTTPServer()
	seams.Store = counted(seams.Store, d.meters.storeCall)
	d.feed = newFeed(d)
	d.verdicts = newVerdicts(d, seams.Store)
	d.quotas = newQuotas(d, seams.Store)
	d.peers = peerdrpc.NewClient(func() *tls.Config { return nil })
	d.peers.Sent, d.peers.Received = d.meters.sent.Add, d.meters.received.Add
	d.meters.watch(d, seams.Dropped)
	d.places = newPlaces(d)
	d.gossip = &gossip{feed: d.feed, send: d.peers.Sync}
	d.follower = &follower{feed: d.feed, store: seams.Store}
	d.keeper = &keeper{feed: d.feed, store: seams.Store}
	memory := bodies.NewMemory(bodiesMost(s.MemoryBytes))
	d.servers = serverhttp.NewClient(seams.Names.Server, memory, d.now, d.meters.connections.Inc)
	d.callers = (&forwardhttp.Server{
		Headers: seams.Names.Caller, Kernel: d.do, Memory: memory, Send: d.servers.Send, Now: d.now,
		Ask: d.places.ask, GiveBack: d.places.giveBack, AskPool: d.quotas.ask,
		Stopping: d.isStopping, Configured: d.feed.begun, Started: d.start,
	}).HTTP()
	d.readiness = &http.Server{Handler: d.readinessHandler(), ReadHeaderTimeout: time.Second, IdleTimeout: faceIdle}
	d.directory = &http.Server{Handler: d.directoryHandler(), ReadHeaderTimeout: time.Second, IdleTimeout: faceIdle}
	return d, nil
}

// observe takes in what the kernel tells, with its lock held.
func (d *Daemon) observe(e steering.Event) {
	d.journal.event(e)
	if e.Kind == steering.EventServerRestarted {
		d.servers.Forget(e.Address)
	}
}

// now reads the steady clock: the time of day may jump.
func (d *Daemon) now() time.Time { return d.start.Add(time.Since(d.start)) }

// started tells this start of the VM's process from others, for peers.
func (d *Daemon) started() int64 { return d.start.UnixMilli() }

// holding lists the services that are held back by own signs.
func (d *Daemon) holding() (held []steering.Held) {
	d.do(func(k *steering.Kernel, now time.Time) { held = k.Holding(now) })
	return held
}

// do runs a function with the kernel, one at a time.
func (d *Daemon) do(f func(*steering.Kernel, time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clock := time.Now()
	now := d.start.Add(clock.Sub(d.start))
	if d.suspensions.ended(clock) {
		d.kernel.Resumed(now)
	}
	f(d.kernel, now)
	if d.kernel.Stirred() {
		select {
		case d.stirred <- struct{}{}:
		default:
		}
	}
}

func (d *Daemon) isStopping() bool {
	select {
	case <-d.stopping:
		return true
	default:
		return false
	}
}

// Run serves until stop ends, then stops as planned. Each value of told means
// that the settings may have changed.
func (d *Daemon) Run(stop context.Context, told <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	if d.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(d.settings.MemoryBytes)))
	}
	failed := make(chan error, 5)
	for _, l := range []struct {
		server  *http.Server
		address netip.AddrPort
		// share of the open files that its connections may take; zero for no
		// bound.
		share float64
	}{
		{d.callers, d.settings.Listen.Callers, callerShare},
		{d.readiness, d.settings.Listen.Readiness, 0},
		{d.directory, d.settings.Listen.Directory, directoryShare},
		{d.operators, d.settings.Listen.Operators, 0},
	} {
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		if l.share > 0 {
			limited := forwardhttp.LimitConnections(listener, int(l.share*openFiles()), d.meters.turnedAway.Inc)
			if l.server == d.callers {
				d.callerConnections, d.callers.ConnState = limited, limited.Note
			}
			listener = limited
		}
		go func() { failed <- l.server.Serve(listener) }()
	}
	peers, err := net.Listen("tcp", d.settings.Listen.Peers.String())
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	go func() { failed <- peerdrpc.ServeSync(ctx, peers, d.peerHandlers(ctx)) }()
	d.follower.advanced = func(before uint64) { d.gossip.spread(ctx, before) }
	d.follower.confirmed = func() { d.gossip.confirm(ctx) }
	go d.follower.run(ctx)
	go d.gossip.run(ctx)
	go d.keeper.run(ctx)
	go d.followSettings(ctx, told)
	go d.tick(ctx)
	go d.watchSuspicions(ctx)
	go d.verdicts.run(ctx)
	go d.quotas.run(ctx)
	go d.quotas.count(ctx)
	go d.measure(ctx)
	if len(d.settings.Off) > 0 {
		klog.InfoS("mechanisms switched off", "mechanisms", d.settings.Off)
	}
	klog.InfoS("serving", "callers", d.settings.Listen.Callers, "directory", d.settings.Listen.Directory)
	select {
	case <-stop.Done():
		d.stop(ctx)
		return nil
	case err := <-failed:
		return errors.Wrap(err, "listener")
	}
}

// peerHandlers answers other proxies.
func (d *Daemon) peerHandlers(ctx context.Context) peerdrpc.SyncHandlers {
	return peerdrpc.SyncHandlers{
		Sync: func(m peerdrpc.SyncMessage) peerdrpc.SyncMessage { return d.gossip.handle(ctx, m) },
		Ask: func(a steering.Ask) (reply steering.Reply) {
			d.do(func(k *steering.Kernel, now time.Time) { reply = k.HearAsk(now, a) })
			return reply
		},
		Release: d.places.release, Grant: d.places.hear, Now: d.now,
		ReportLimits: func(r ratelimit.Report) (g ratelimit.Grants) {
			d.do(func(k *steering.Kernel, now time.Time) { g = k.HearReport(now, r) })
			return g
		},
		TakeToken: func(account string) (t ratelimit.TokenReply) {
			d.do(func(k *steering.Kernel, now time.Time) { t = k.TakeToken(now, account) })
			return t
		},
	}
}

// tick lets the kernel act on what has run out.
func (d *Daemon) tick(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.feed.listLate()
			var grants []steering.Reply
			d.do(func(k *steering.Kernel, now time.Time) {
				k.Tick(now)
				grants = k.Grants()
			})
			d.places.tell(grants)
		}
	}
}

// measure learns the round trips to failure domains before callers wait for
// them: where objects live depends on how far the regions are apart.
func (d *Daemon) measure(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, measureEvery)
		var list []routing.Server
		d.do(func(k *steering.Kernel, _ time.Time) { list = k.Unmeasured() })
		for _, s := range list {
			roundTrip, err := d.servers.Measure(ctx, s.Address, measureLimit)
			if err != nil {
				klog.V(1).InfoS("no round trip measured", "server", s.ID, "error", err.Error())
				continue
			}
			d.do(func(k *steering.Kernel, _ time.Time) { k.Measured(s.Domain, roundTrip) })
		}
	}
}
