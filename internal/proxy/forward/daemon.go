package forward

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/forwardhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/peerdrpc"
	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/eviction"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/replica"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/openfiles"
	"github.com/gypsumquay/gypsumquay/internal/proxy/sleep"
)

const (
	// tickInterval bounds how late expiries and timeouts are noticed.
	tickInterval = 200 * time.Millisecond
	// rttProbeInterval is the pause between rounds of round-trip probes.
	rttProbeInterval = time.Second
	// rttProbeTimeout is the longest round trip that a probe waits for.
	rttProbeTimeout = 500 * time.Millisecond
)

type (
	// Daemon is one proxy process: its listeners, its background tasks and the steering kernel.
	Daemon struct {
		settings *Settings
		deps     Dependencies
		start    time.Time

		// mu guards kernel, currentBounds and suspendDetector.
		mu     sync.Mutex
		kernel *steering.Kernel
		// currentBounds starts as settings.Bounds and changes when the settings are reloaded.
		currentBounds   Bounds
		suspendDetector suspendDetector

		callerServer *http.Server
		forwarder    *forwardhttp.Server
		// handoverServer serves the requests that other proxies hand over.
		handoverServer *http.Server
		// requestListeners accept the connections of callers and of proxies that hand requests over,
		// and track which are idle.
		requestListeners []*forwardhttp.Listener
		serverClient     *serverhttp.Client
		// bodyMemory limits the memory of all bodies.
		bodyMemory *bodies.MemoryBudget
		// headMemory limits the memory of the heads of all requests.
		headMemory *bodies.MemoryBudget
		// headBytes is the longest head that the configuration allows, zero if it sets no limit.
		headBytes atomic.Int64
		// handoverClient sends requests to other proxies.
		handoverClient  *serverhttp.Client
		reachability    *reachabilityProber
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
		slots           *slotClient
		quarantine      *quarantineStore
		quotas          *quotaClient
		overflow        *overflowMonitor

		stopping chan struct{}
		// cancelRequests interrupts the requests in progress.
		cancelRequests context.CancelFunc
		// suspicionsChanged wakes runCrashAlerts.
		suspicionsChanged chan struct{}
	}

	// listenerSpec is what a listener is opened for.
	listenerSpec struct {
		server  *http.Server
		address netip.AddrPort
		// share is the fraction of the open-file limit that its connections may use, and
		// maxConnections the most that it may have; zero for no other bound.
		share          float64
		maxConnections int
		// forwards is set if its requests are forwarded to servers.
		forwards bool
	}
)

// New creates a daemon from validated settings.
func New(s *Settings, deps Dependencies) (*Daemon, error) {
	config := steering.Config{
		Name: s.Name, Domain: s.Domain, Region: s.Region, Address: s.Listen.Callers, LinkMbps: s.LinkMbps, RegionOf: s.RegionOf,
		Bounds: kernelBounds(s), Joined: time.Now(), Off: s.DisabledMechanisms,
	}
	if _, err := rand.Read(config.Seed[:]); err != nil {
		return nil, errors.Wrap(err, "generate the kernel seed")
	}
	d := &Daemon{settings: s, deps: deps, start: config.Joined, currentBounds: s.Bounds, stopping: make(chan struct{}), suspicionsChanged: make(chan struct{}, 1)}
	d.metrics = newProxyMetrics()
	d.decisionLog = newDecisionLog(s.Name, d.now, d.metrics)
	config.Observe, config.Record = d.handleEvent, deps.Record
	d.kernel = steering.New(config)
	d.kernel.ConfirmListing(d.now(), time.Time{}, false)
	d.operatorServer = (&steeringhttp.Server{Status: d.status, Events: func(request string) []steeringhttp.Event {
		return d.decisionLog.events(forwardhttp.ShortName(request))
	}, Metrics: d.metrics.set}).HTTPServer()
	deps.Store = instrumentStore(deps.Store, d.metrics.recordStoreCall)
	d.replica = newStoreReplica(d)
	d.quarantine = newQuarantineStore(d, deps.Store)
	d.quotas = newQuotaClient(d, deps.Store)
	d.overflow = newOverflowMonitor(d)
	d.peerClient = peerdrpc.NewClient(func() *tls.Config { return nil })
	d.peerClient.CountBytes = func(to netip.AddrPort) (sent, received func(int)) {
		return d.metrics.peerBytes(d.replica.borderTo(to))
	}
	d.metrics.registerGauges(d, deps.DroppedLogLines)
	d.slots = newSlotClient(d)
	d.gossip = &gossip{replica: d.replica, send: d.peerClient.Sync}
	d.storeWatcher = &storeWatcher{replica: d.replica, store: deps.Store}
	d.registrar = &registrar{replica: d.replica, store: deps.Store}
	memory := bodies.NewMemoryBudget(memoryShare(s.MemoryBytes, bodyMemoryRatio))
	memory.ReclaimWith(d.reclaimBodyMemory)
	d.bodyMemory = memory
	d.headMemory = bodies.NewMemoryBudget(memoryShare(s.MemoryBytes, headMemoryRatio))
	d.serverClient = serverhttp.NewClient(deps.Names.ServerHeaders, memory, d.now, d.metrics.serverConnectionsOpened.Inc)
	d.serverClient.CountSentBytes(d.overflow.countSent)
	d.serverClient.CountStrayResponses(d.metrics.strayResponses.Inc)
	d.handoverClient = serverhttp.NewClient(handoverHeaders(deps.Names.ServerHeaders), memory, d.now, func() {})
	d.handoverClient.CountSentBytes(d.overflow.countSent)
	d.reachability = newReachabilityProber(d)
	requests, cancelRequests := context.WithCancel(context.Background())
	d.cancelRequests = cancelRequests
	d.forwarder = &forwardhttp.Server{
		Requests: requests,
		Name:     s.Name, SendToPeer: d.handoverClient.Send,
		Headers: deps.Names.CallerHeaders, WithKernel: d.withKernel, BodyMemory: memory, HeadMemory: d.headMemory, Send: d.serverClient.Send, Now: d.now,
		RequestSlot: d.slots.acquire, ReleaseSlot: d.slots.release, RequestPoolToken: d.quotas.takeToken,
		IsStopping: d.isStopping, Configured: d.replica.loaded, StartedAt: d.start, OnUnprovenStatus: d.metrics.unprovenStatuses.Inc,
	}
	d.callerServer, d.handoverServer = d.forwarder.HTTPServer(), d.forwarder.HandoverServer()
	d.readinessServer = &http.Server{Handler: d.readinessHandler(), ReadHeaderTimeout: time.Second, IdleTimeout: httpIdleTimeout}
	d.directoryServer = &http.Server{Handler: d.directoryHandler(), ReadHeaderTimeout: time.Second, IdleTimeout: httpIdleTimeout}
	return d, nil
}

// handleEvent receives the kernel's events. The caller holds d.mu.
func (d *Daemon) handleEvent(e steering.Event) {
	d.decisionLog.handleEvent(e)
	if e.Kind == steering.EventServerRestarted {
		d.serverClient.CloseIdleConnections(e.Address)
	}
}

// now is the current time by the monotonic clock, since the wall clock may jump.
func (d *Daemon) now() time.Time { return d.start.Add(time.Since(d.start)) }

// startMillis identifies this start of the process to peers, in Unix milliseconds.
func (d *Daemon) startMillis() int64 { return d.start.UnixMilli() }

// learnedLimits lists the concurrency limits that this proxy has learned for services whose
// servers slow down when full.
func (d *Daemon) learnedLimits() (limits []steering.ServiceLimit) {
	d.withKernel(func(k *steering.Kernel, now time.Time) { limits = k.ConcurrencyLimits(now) })
	return limits
}

// withKernel calls f with exclusive access to the kernel. It first tells the kernel if the VM
// was suspended, and afterwards wakes runCrashAlerts if there are new suspicions.
func (d *Daemon) withKernel(f func(*steering.Kernel, time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wallNow := time.Now()
	now := d.start.Add(wallNow.Sub(d.start))
	if d.suspendDetector.checkResumed(wallNow) {
		d.kernel.HandleResume(now)
		d.replica.suspended.Store(true)
	}
	f(d.kernel, now)
	if d.kernel.QuarantinePending() {
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

// Run serves until stop is canceled, then shuts down gracefully. Each value received from reload
// asks for the settings to be read again.
func (d *Daemon) Run(stop context.Context, reload <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	if d.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(d.settings.MemoryBytes)))
	}
	failed := make(chan error, 6)
	for _, l := range []listenerSpec{
		{server: d.callerServer, address: d.settings.Listen.Callers, share: callerFileRatio, maxConnections: maxCallerConnections(d.settings.MemoryBytes), forwards: true},
		{server: d.handoverServer, address: d.settings.Listen.Handovers, share: handoverFileRatio, forwards: true},
		{server: d.readinessServer, address: d.settings.Listen.Readiness, share: readinessFileRatio, maxConnections: maxReadinessConnections},
		{server: d.directoryServer, address: d.settings.Listen.Directory, share: directoryFileRatio},
		{server: d.operatorServer, address: d.settings.Listen.Operators, share: operatorFileRatio, maxConnections: maxOperatorConnections},
	} {
		if l.server == d.handoverServer && !l.address.IsValid() {
			continue
		}
		listener, err := d.listen(l)
		if err != nil {
			return err
		}
		go func() { failed <- l.server.Serve(listener) }()
	}
	peers, err := d.limitedListener(listenerSpec{address: d.settings.Listen.Peers, share: peerFileRatio})
	if err != nil {
		return err
	}
	peers.LimitMessages(bodies.NewMemoryBudget(memoryShare(d.settings.MemoryBytes, messageMemoryRatio)))
	d.replica.onConfirm = func() { go d.gossip.sendAlerts(ctx) }
	go func() { failed <- peerdrpc.ServeSync(ctx, peers, d.peerHandlers(ctx)) }()
	d.storeWatcher.onAdvance = func(before replica.Position) { d.gossip.spread(ctx, before) }
	d.storeWatcher.onUnchanged = func() { d.gossip.confirm(ctx) }
	go d.storeWatcher.run(ctx)
	go d.gossip.run(ctx)
	go d.registrar.run(ctx)
	go d.watchSettings(ctx, reload)
	go d.overflow.run(ctx)
	go d.runTicks(ctx)
	go d.runCrashAlerts(ctx)
	go d.quarantine.run(ctx)
	go d.quotas.run(ctx)
	go d.quotas.runFleetSize(ctx)
	go d.probeRoundTrips(ctx)
	if len(d.settings.DisabledMechanisms) > 0 {
		klog.InfoS("mechanisms disabled by command line", "mechanisms", d.settings.DisabledMechanisms)
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

// listen opens a listener for an HTTP server.
func (d *Daemon) listen(l listenerSpec) (net.Listener, error) {
	limited, err := d.limitedListener(l)
	if err != nil {
		return nil, err
	}
	limited.LimitHeads(forwardhttp.HeadLimits{Memory: d.headMemory, MaxBytes: d.maxHeadBytes})
	if !l.forwards {
		limited.Attach(l.server)
		return limited, nil
	}
	l.server.ConnState = limited.RecordState
	limited.CountSentBytes(d.overflow.countSent)
	d.requestListeners = append(d.requestListeners, limited)
	if l.server == d.callerServer {
		d.forwarder.EnablePipelining(limited)
	}
	return limited, nil
}

// limitedListener opens a listener that limits connections.
func (d *Daemon) limitedListener(l listenerSpec) (*forwardhttp.Listener, error) {
	listener, err := net.Listen("tcp", l.address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	maxOpen := openfiles.Share(l.share)
	if l.maxConnections > 0 {
		maxOpen = min(maxOpen, l.maxConnections)
	}
	limited := forwardhttp.LimitConnections(listener, maxOpen, d.metrics.callerConnectionsRefused.Inc)
	limited.CountEvictions(d.metrics.connectionsEvicted.Inc)
	return limited, nil
}

// maxHeadBytes returns the length of the longest head of a request.
func (d *Daemon) maxHeadBytes() int64 {
	return cmp.Or(d.headBytes.Load(), forwardhttp.DefaultMaxHeadBytes)
}

// applyLimits applies the configuration's limits of requests.
func (d *Daemon) applyLimits(l routing.Limits) {
	d.headBytes.Store(l.HeaderBytes)
	memory := d.settings.MemoryBytes
	d.bodyMemory.SetLongestRequest(l.BodyBytes, memoryShare(memory, bodyMemoryRatio), memoryShare(memory, maxBodyMemoryRatio))
}

// reclaimBodyMemory closes a connection whose client holds memory for bodies and has stalled, and reports
// whether there was one.
func (d *Daemon) reclaimBodyMemory() bool {
	return slices.ContainsFunc(d.requestListeners, func(l *forwardhttp.Listener) bool { return l.Evict(eviction.ForBody) })
}

// peerHandlers returns the handlers of the calls that other proxies make.
func (d *Daemon) peerHandlers(ctx context.Context) peerdrpc.SyncHandlers {
	return peerdrpc.SyncHandlers{
		Sync: func(m peerdrpc.SyncMessage) peerdrpc.SyncMessage { return d.gossip.handle(ctx, m) },
		RequestSlot: func(a steering.SlotRequest) (reply steering.SlotReply) {
			d.withKernel(func(k *steering.Kernel, now time.Time) { reply = k.HandleSlotRequest(now, a) })
			return reply
		},
		ReleaseSlot: d.slots.releaseLocal, HandleSlotReply: d.slots.deliver, Now: d.now,
		ReportLimits: func(r ratelimit.Report) (g ratelimit.Grants) {
			d.withKernel(func(k *steering.Kernel, now time.Time) { g = k.HandleQuotaReport(now, r) })
			return g
		},
		TakeToken: func(account string) (t ratelimit.TokenReply) {
			d.withKernel(func(k *steering.Kernel, now time.Time) { t = k.TakePoolToken(now, account) })
			return t
		},
	}
}

// runTicks periodically lets the kernel expire state and sends the slots that this frees.
func (d *Daemon) runTicks(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.replica.tick()
			var grants []steering.SlotReply
			d.withKernel(func(k *steering.Kernel, now time.Time) {
				k.Tick(now)
				grants = k.TakeSlotReplies()
			})
			d.slots.sendReplies(grants)
			d.reachability.probeIfNeeded(ctx)
		}
	}
}

// probeRoundTrips measures the round trips to failure domains before requests need them: the
// placement of objects depends on the latency between regions.
func (d *Daemon) probeRoundTrips(ctx context.Context) {
	for ctx.Err() == nil {
		sleep.For(ctx, rttProbeInterval)
		var list []routing.Server
		d.withKernel(func(k *steering.Kernel, _ time.Time) { list = k.UnmeasuredServers() })
		for _, s := range list {
			roundTrip, err := d.serverClient.MeasureRoundTrip(ctx, s.Address, rttProbeTimeout)
			if err != nil {
				klog.V(1).InfoS("latency probe failed", "server", s.ID, "error", err.Error())
				continue
			}
			d.withKernel(func(k *steering.Kernel, _ time.Time) { k.RecordRoundTrip(s.Domain, roundTrip) })
		}
	}
}
