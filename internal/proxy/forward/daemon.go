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
	// tickInterval is how late what has run out may be noticed.
	tickInterval = 200 * time.Millisecond
	// rttProbeInterval is the pause between rounds of measuring, rttProbeTimeout the
	// longest round trip that is waited for.
	rttProbeInterval = time.Second
	rttProbeTimeout  = 500 * time.Millisecond
)

type (
	// Daemon is one proxy process.
	Daemon struct {
		settings *Settings
		deps     Dependencies
		start    time.Time

		mu     sync.Mutex
		kernel *steering.Kernel
		// currentBounds are the bounds in force; those of settings are the first.
		currentBounds   Bounds
		suspendDetector suspendDetector

		callerServer *http.Server
		// callerListener is what callers' connections are accepted by.
		callerListener  *forwardhttp.Listener
		serverClient    *serverhttp.Client
		readinessServer *http.Server
		directoryServer *http.Server
		operatorServer  *http.Server
		decisionLog     *decisionLog
		metrics         *proxyMetrics
		replica         *storeReplica
		storeWatcher    *storeWatcher
		gossip          *gossip
		registrar       *registrar
		peerClient      *peerdrpc.Client
		permits         *permitClient
		quarantine      *quarantineStore
		quotas          *quotaClient

		stopping chan struct{}
		// suspicionsChanged asks for suspicions to be followed soon.
		suspicionsChanged chan struct{}
	}
)

// New makes a daemon from checked settings.
func New(s *Settings, seams Dependencies) (*Daemon, error) {
	config := steering.Config{
		Name: s.Name, Domain: s.Domain, Region: s.Region, Address: s.Listen.Callers, RegionOf: s.RegionOf,
		Bounds: kernelBounds(s), Joined: time.Now(), Off: s.DisabledMechanisms,
	}
	if _, err := rand.Read(config.Seed[:]); err != nil {
		return nil, errors.Wrap(err, "seed")
	}
	d := &Daemon{settings: s, deps: seams, start: config.Joined, currentBounds: s.Bounds, stopping: make(chan struct{}), suspicionsChanged: make(chan struct{}, 1)}
	d.metrics = newProxyMetrics()
	d.decisionLog = newDecisionLog(s.Name, d.now, d.metrics)
	config.Observe, config.Record = d.handleEvent, seams.Record
	d.kernel = steering.New(config)
	d.operatorServer = (&steeringhttp.Server{Status: d.status, Events: d.decisionLog.events, Metrics: d.metrics.set}).HTTP()
	seams.Store = instrumentStore(seams.Store, d.metrics.recordStoreCall)
	d.replica = newStoreReplica(d)
	d.quarantine = newQuarantineStore(d, seams.Store)
	d.quotas = newQuotaClient(d, seams.Store)
	d.peerClient = peerdrpc.NewClient(func() *tls.Config { return nil })
	d.peerClient.Sent, d.peerClient.Received = d.metrics.peerBytesSent.Add, d.metrics.peerBytesReceived.Add
	d.metrics.registerGauges(d, seams.DroppedLogLines)
	d.permits = newPermitClient(d)
	d.gossip = &gossip{replica: d.replica, send: d.peerClient.Sync}
	d.storeWatcher = &storeWatcher{replica: d.replica, store: seams.Store}
	d.registrar = &registrar{replica: d.replica, store: seams.Store}
	memory := bodies.NewMemory(bodyMemoryLimit(s.MemoryBytes))
	d.serverClient = serverhttp.NewClient(seams.Names.ServerHeaders, memory, d.now, d.metrics.serverConnectionsOpened.Inc)
	d.callerServer = (&forwardhttp.Server{
		Headers: seams.Names.CallerHeaders, Kernel: d.withKernel, Memory: memory, Send: d.serverClient.Send, Now: d.now,
		Ask: d.permits.acquire, GiveBack: d.permits.release, AskPool: d.quotas.takeToken,
		Stopping: d.isStopping, Configured: d.replica.loaded, Started: d.start,
	}).HTTP()
	d.readinessServer = &http.Server{Handler: d.readinessHandler(), ReadHeaderTimeout: time.Second, IdleTimeout: httpIdleTimeout}
	d.directoryServer = &http.Server{Handler: d.directoryHandler(), ReadHeaderTimeout: time.Second, IdleTimeout: httpIdleTimeout}
	return d, nil
}

// handleEvent takes in what the kernel tells, with its lock held.
func (d *Daemon) handleEvent(e steering.Event) {
	d.decisionLog.handleEvent(e)
	if e.Kind == steering.EventServerRestarted {
		d.serverClient.Forget(e.Address)
	}
}

// now reads the steady clock: the time of day may jump.
func (d *Daemon) now() time.Time { return d.start.Add(time.Since(d.start)) }

// startMillis tells this start of the VM's process from others, for peers.
func (d *Daemon) startMillis() int64 { return d.start.UnixMilli() }

// learnedLimits lists the services that are held back by own signs.
func (d *Daemon) learnedLimits() (limits []steering.Held) {
	d.withKernel(func(k *steering.Kernel, now time.Time) { limits = k.Holding(now) })
	return limits
}

// withKernel runs a function with the kernel, one at a time.
func (d *Daemon) withKernel(f func(*steering.Kernel, time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clock := time.Now()
	now := d.start.Add(clock.Sub(d.start))
	if d.suspendDetector.checkResumed(clock) {
		d.kernel.Resumed(now)
	}
	f(d.kernel, now)
	if d.kernel.Stirred() {
		select {
		case d.suspicionsChanged <- struct{}{}:
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
func (d *Daemon) Run(stop context.Context, reload <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	if d.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(d.settings.MemoryBytes)))
	}
	failed := make(chan error, 5)
	for _, l := range []struct {
		server  *http.Server
		address netip.AddrPort
		// share of the open files that its connections may take; zero for no
		// bound.
		share float64
	}{
		{d.callerServer, d.settings.Listen.Callers, callerFileRatio},
		{d.readinessServer, d.settings.Listen.Readiness, 0},
		{d.directoryServer, d.settings.Listen.Directory, directoryFileRatio},
		{d.operatorServer, d.settings.Listen.Operators, 0},
	} {
		listener, err := net.Listen("tcp", l.address.String())
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		if l.share > 0 {
			limited := forwardhttp.LimitConnections(listener, int(l.share*openFileLimit()), d.metrics.callerConnectionsRefused.Inc)
			if l.server == d.callerServer {
				d.callerListener, d.callerServer.ConnState = limited, limited.Note
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
	d.storeWatcher.onAdvance = func(before uint64) { d.gossip.spread(ctx, before) }
	d.storeWatcher.onUnchanged = func() { d.gossip.confirm(ctx) }
	go d.storeWatcher.run(ctx)
	go d.gossip.run(ctx)
	go d.registrar.run(ctx)
	go d.watchSettings(ctx, reload)
	go d.runTicks(ctx)
	go d.runCrashAlerts(ctx)
	go d.quarantine.run(ctx)
	go d.quotas.run(ctx)
	go d.quotas.runFleetSize(ctx)
	go d.probeRoundTrips(ctx)
	if len(d.settings.DisabledMechanisms) > 0 {
		klog.InfoS("mechanisms switched off", "mechanisms", d.settings.DisabledMechanisms)
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
			d.withKernel(func(k *steering.Kernel, now time.Time) { reply = k.HearAsk(now, a) })
			return reply
		},
		Release: d.permits.releaseLocal, Grant: d.permits.deliver, Now: d.now,
		ReportLimits: func(r ratelimit.Report) (g ratelimit.Grants) {
			d.withKernel(func(k *steering.Kernel, now time.Time) { g = k.HearReport(now, r) })
			return g
		},
		TakeToken: func(account string) (t ratelimit.Token) {
			d.withKernel(func(k *steering.Kernel, now time.Time) { t = k.TakeToken(now, account) })
			return t
		},
	}
}

// runTicks lets the kernel act on what has run out.
func (d *Daemon) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.replica.flushProxies()
			var grants []steering.Reply
			d.withKernel(func(k *steering.Kernel, now time.Time) {
				k.Tick(now)
				grants = k.Grants()
			})
			d.permits.sendReplies(grants)
		}
	}
}

// probeRoundTrips learns the round trips to failure domains before callers wait for
// them: where objects live depends on how far the regions are apart.
func (d *Daemon) probeRoundTrips(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, rttProbeInterval)
		var list []routing.Server
		d.withKernel(func(k *steering.Kernel, _ time.Time) { list = k.Unmeasured() })
		for _, s := range list {
			roundTrip, err := d.serverClient.Measure(ctx, s.Address, rttProbeTimeout)
			if err != nil {
				klog.V(1).InfoS("no round trip measured", "server", s.ID, "error", err.Error())
				continue
			}
			d.withKernel(func(k *steering.Kernel, _ time.Time) { k.Measured(s.Domain, roundTrip) })
		}
	}
}
