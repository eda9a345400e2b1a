// Package daemon assembles one proxy process from the kernel, the driver and the adapters, and
// starts and stops them in order.
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/backendhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/bodies"
	"github.com/gypsumquay/gypsumquay/internal/adapter/callerhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/forwardhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/kvhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/operatorhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/peerdrpc"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/eviction"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/proxy/driver"
	"github.com/gypsumquay/gypsumquay/internal/proxy/openfiles"
	"github.com/gypsumquay/gypsumquay/internal/proxy/runner"
	"github.com/gypsumquay/gypsumquay/internal/proxy/settings"
)

const (
	// maxConnectionsPerServer limits the number of connections to one backend server.
	maxConnectionsPerServer = 128
	// callerFileRatio, operatorFileRatio and peerFileRatio are the fractions of the open-file limit that
	// connections of callers, operators and other proxies may use. Connections to servers, peers and the
	// platform need the rest.
	callerFileRatio   = 0.5
	operatorFileRatio = 0.1
	peerFileRatio     = 0.2
	// headMemoryBytes is how much memory the heads of requests may use together beyond the usual size,
	// messageMemoryBytes that of calls of other proxies that are being received. A head may have
	// maxHeadBytes.
	headMemoryBytes    = 32 << 20
	messageMemoryBytes = 64 << 20
	maxHeadBytes       = 64 << 10
)

type (
	// Daemon is one proxy process.
	Daemon struct {
		settings       *settings.Settings
		identity       *settings.Identity
		driver         *driver.Driver
		runner         *runner.Runner
		peerClient     *peerdrpc.Client
		platformClient *kvhttp.Client
		metrics        *processMetrics
		callerServer   *http.Server
		operatorServer *http.Server
	}
)

// New returns a daemon for validated settings.
func New(s *settings.Settings) (*Daemon, error) {
	identity, err := settings.NewIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{settings: s, identity: identity, metrics: newProcessMetrics()}
	d.peerClient = peerdrpc.NewClient(identity.ClientConfig)
	d.peerClient.CountBytes = func(netip.AddrPort) (sent, received func(int)) {
		return d.metrics.addPeerSent, d.metrics.addPeerReceived
	}
	d.platformClient = kvhttp.NewClient(s.PlatformAddresses)
	d.platformClient.OnCall = d.metrics.countPlatformCall
	config, err := newKernelConfig(s)
	if err != nil {
		return nil, err
	}
	config.OnEvent = d.metrics.countEvent
	var backends *backendhttp.Client
	d.driver = driver.New(config, driver.Dependencies{
		Exchange: d.peerClient.Exchange,
		Borrow:   d.peerClient.Borrow,
		Probe: func(ctx context.Context, a netip.AddrPort) backend.Health {
			return backends.Probe(ctx, a)
		},
		StoreAssignment: d.storeAssignment,
	})
	backends = backendhttp.NewClient(maxConnectionsPerServer, d.driver.Now)
	d.runner = &runner.Runner{Name: s.Name, WithKernel: d.driver.WithKernel, Send: backends.Send, Forward: d.peerClient.Forward}
	limits := callerhttp.Limits{MaxBodyBytes: s.Limits.MaxBodyBytes, MaxTotalBytes: s.Limits.MaxTotalBodyBytes}
	d.callerServer = callerhttp.NewServer(d.driver.WithKernel, d.runner.Run, limits, d.driver.Now, d.metrics.observeRequest).HTTPServer()
	d.operatorServer = (&operatorhttp.Server{
		WithKernel: d.driver.WithKernel,
		Trust:      config.Trust,
		Store:      d.platformClient.Store(),
		ListValues: d.platformClient.List,
		Metrics:    d.metrics.set,
		Ready:      d.isReady,
	}).HTTPServer()
	d.metrics.registerGauges(d.driver)
	return d, nil
}

func newKernelConfig(s *settings.Settings) (core.Config, error) {
	c := core.Config{
		Self: peer.Member{
			Name:            s.Name,
			Address:         s.Listen.Callers,
			PeerAddress:     s.Listen.Peers,
			OperatorAddress: s.Listen.Operators,
			Region:          s.Region,
			Domain:          s.FailureDomain,
		},
		Trust:       s.TrustedOperators,
		MaxInFlight: s.Limits.MaxInFlight,
		Seeds:       s.SeedPeers,
	}
	if _, err := rand.Read(c.Seed[:]); err != nil {
		return c, errors.Wrap(err, "generate seed")
	}
	if _, err := rand.Read(c.TokenKey[:]); err != nil {
		return c, errors.Wrap(err, "generate token key")
	}
	// The incarnation must increase with each restart and differ between two processes. A VM has no
	// persistent storage, so the incarnation is composed of the wall clock and random bits.
	var random [2]byte
	if _, err := rand.Read(random[:]); err != nil {
		return c, errors.Wrap(err, "generate incarnation")
	}
	c.Self.Incarnation = uint64(time.Now().UnixMilli())<<16 | uint64(binary.BigEndian.Uint16(random[:]))
	return c, nil
}

func (d *Daemon) storeAssignment(ctx context.Context, a core.StoreAssignment) {
	driver.StoreAssignment(ctx, d.platformClient.Store(), a, func(stored *kv.Assignment) {
		d.driver.WithKernel(func(k *core.Kernel, now time.Time) { k.ApplyAssignment(now, stored) })
	})
}

func (d *Daemon) isReady() bool {
	ready := false
	d.driver.WithKernel(func(k *core.Kernel, _ time.Time) {
		ready = k.BundleVersion() > 0 && k.Self().State == peer.StateLive
	})
	return ready
}

// Run serves until the stop context is done, then performs a graceful shutdown.
func (d *Daemon) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	listeners, err := d.listen()
	if err != nil {
		return err
	}
	serveErrors := make(chan error, 4)
	listeners[0].LimitMessages(bodies.NewMemoryBudget(messageMemoryBytes))
	heads := forwardhttp.HeadLimits{Memory: bodies.NewMemoryBudget(headMemoryBytes), MaxBytes: func() int64 { return maxHeadBytes }}
	callers, operators := listeners[1], listeners[2]
	callers.LimitHeads(heads)
	callers.AttachBodies(d.callerServer, eviction.ForwardPatience)
	operators.LimitHeads(heads)
	operators.AttachBodies(d.operatorServer, eviction.ShortPatience)
	go func() { serveErrors <- peerdrpc.Serve(ctx, listeners[0], d.peerHandlers()) }()
	go func() { serveErrors <- d.callerServer.Serve(callers) }()
	go func() { serveErrors <- d.operatorServer.Serve(operators) }()
	watcher := driver.NewWatcher(d.driver, driver.Platform{
		Store: d.platformClient.Store(), Watch: d.platformClient.Watch, WatchVMs: d.platformClient.WatchVMs,
	})
	go watcher.Run(ctx)
	ticksDone := make(chan struct{})
	go func() {
		d.driver.Run(ctx)
		close(ticksDone)
	}()
	klog.InfoS("serving", "callers", d.settings.Listen.Callers,
		"peers", d.settings.Listen.Peers, "operators", d.settings.Listen.Operators)
	select {
	case <-stop.Done():
		d.stopGracefully(ctx)
	case err := <-serveErrors:
		return errors.Wrap(err, "serve listener")
	}
	cancel()
	<-ticksDone
	return errs.Wrap(d.peerClient.Close(), "close peer client")
}

// listen binds all addresses before anything is served. A process that cannot bind the addresses of
// its VM must not join the fleet, because another incarnation still uses them.
func (d *Daemon) listen() ([]*forwardhttp.Listener, error) {
	addresses := []struct {
		address netip.AddrPort
		tls     *tls.Config
		share   float64
	}{
		{d.settings.Listen.Peers, d.identity.ServerConfig(true), peerFileRatio},
		{d.settings.Listen.Callers, nil, callerFileRatio},
		{d.settings.Listen.Operators, d.identity.ServerConfig(false), operatorFileRatio},
	}
	var listeners []*forwardhttp.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a.address.String())
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		if a.tls != nil {
			l = tls.NewListener(l, a.tls)
		}
		limited := forwardhttp.LimitConnections(l, openfiles.Share(a.share), d.metrics.connectionsRefused.Inc)
		limited.CountEvictions(d.metrics.connectionsEvicted.Inc)
		listeners = append(listeners, limited)
	}
	return listeners, nil
}

func (d *Daemon) peerHandlers() peerdrpc.Handlers {
	return peerdrpc.Handlers{
		Exchange: func(m peer.Exchange) (reply peer.Exchange) {
			d.driver.WithKernel(func(k *core.Kernel, now time.Time) { reply = k.HandleExchange(now, m) })
			return reply
		},
		Borrow: func(m peer.BorrowRequest) (reply peer.BorrowReply) {
			d.driver.WithKernel(func(k *core.Kernel, now time.Time) { reply = k.HandleBorrow(now, m) })
			return reply
		},
		Forward: d.runner.HandleForward,
		Handover: func(m peer.HandoverRequest) (stamp peer.Stamp) {
			d.driver.WithKernel(func(k *core.Kernel, now time.Time) {
				k.HandleHandover(now, m.From, m.Stamp, m.Records)
				stamp = k.Stamp(now)
			})
			return stamp
		},
	}
}
