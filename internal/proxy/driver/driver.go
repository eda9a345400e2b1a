// Package driver runs a kernel: it provides the clock and the lock, calls Tick, performs the
// resulting actions and passes their results back to the kernel.
package driver

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

type (
	// Dependencies are the functions by which the driver reaches peers, backend servers and the
	// platform. Tests replace them.
	Dependencies struct {
		Exchange        func(context.Context, peer.Member, peer.Exchange) (peer.Exchange, error)
		Borrow          func(context.Context, peer.Member, peer.BorrowRequest) (peer.BorrowReply, error)
		Probe           func(context.Context, netip.AddrPort) backend.Health
		StoreAssignment func(context.Context, core.StoreAssignment)
	}

	// Driver owns one kernel and serializes access to it.
	Driver struct {
		mu        sync.Mutex
		kernel    *core.Kernel
		clockBase atomic.Pointer[time.Time]
		deps      Dependencies
		running   sync.WaitGroup
	}
)

// New returns a driver with a new kernel that uses the driver's clock.
func New(c core.Config, deps Dependencies) *Driver {
	d := &Driver{deps: deps}
	now := time.Now()
	d.clockBase.Store(&now)
	d.kernel = core.New(c, d.Now())
	return d
}

// Now returns the kernel's time: a base wall time plus the monotonic time since. It does not follow
// steps of the wall clock, because a step must not make a record look expired, or a token whose
// record has been removed look valid again.
func (d *Driver) Now() time.Time {
	base := d.clockBase.Load()
	return base.Round(0).Add(time.Since(*base))
}

// followWallClock advances the kernel's time to the wall clock if it lags, and never moves it back.
// The monotonic clock does not advance while a VM is paused. Without the correction this process
// would lag permanently after a pause: every deadline that it sends would be in the past, and
// backend servers would reject all its requests. The kernel treats the jump as a freeze and uses no
// quota for one window, so a wrongly set wall clock costs one second but no capacity.
func (d *Driver) followWallClock() {
	now := time.Now()
	if now.Round(0).Sub(d.Now()) > core.ClockTolerance {
		klog.InfoS("advanced the lagging clock; the VM may have been paused", "by", now.Round(0).Sub(d.Now()).String())
		d.clockBase.Store(&now)
	}
}

// WithKernel calls f with the kernel while holding the lock.
func (d *Driver) WithKernel(f func(k *core.Kernel, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.kernel, d.Now())
}

// Run ticks until the context is done, then waits for running actions.
func (d *Driver) Run(ctx context.Context) {
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			d.running.Wait()
			return
		case <-ticker.C:
			d.Tick(ctx)
		}
	}
}

// Tick runs the kernel's due work and performs the resulting actions.
func (d *Driver) Tick(ctx context.Context) {
	d.followWallClock()
	var actions []core.Action
	d.WithKernel(func(k *core.Kernel, now time.Time) { actions = k.Tick(now) })
	d.Perform(ctx, actions)
}

// Perform starts the actions. Each passes its result to the kernel when it completes.
func (d *Driver) Perform(ctx context.Context, actions []core.Action) {
	for _, a := range actions {
		d.running.Go(func() { d.performAction(ctx, a) })
	}
}

func (d *Driver) performAction(ctx context.Context, action core.Action) {
	switch a := action.(type) {
	case core.SendExchange:
		d.sendExchange(ctx, a)
	case core.SendBorrow:
		reply, err := d.deps.Borrow(ctx, a.To, a.Message)
		response := &reply
		if err != nil {
			response = nil
		}
		d.WithKernel(func(k *core.Kernel, now time.Time) { k.HandleBorrowReply(now, a, response) })
	case core.SendProbe:
		health := d.deps.Probe(ctx, a.Address)
		d.WithKernel(func(k *core.Kernel, now time.Time) { k.HandleProbeResult(now, a.Server, health) })
	case core.StoreAssignment:
		d.deps.StoreAssignment(ctx, a)
	}
}

func (d *Driver) sendExchange(ctx context.Context, a core.SendExchange) {
	sentAt := d.Now()
	reply, err := d.deps.Exchange(ctx, a.To, a.Message)
	if err != nil {
		klog.V(1).InfoS("exchange with peer failed", "peer", a.To.Name, "address", a.To.PeerAddress, "error", err.Error())
		d.WithKernel(func(k *core.Kernel, now time.Time) { k.HandleExchangeFailure(now, a.To.Name) })
		return
	}
	d.WithKernel(func(k *core.Kernel, now time.Time) { k.HandleExchangeReply(now, sentAt, reply) })
}
