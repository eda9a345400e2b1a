// Package driver gives a kernel its clock, its lock and its messages: it calls
// Tick, carries out the actions and brings back what came of them.
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
	// Dependencies are the driver's ways out. Tests put functions of their own in.
	Dependencies struct {
		Exchange        func(context.Context, peer.Member, peer.Exchange) (peer.Exchange, error)
		Borrow          func(context.Context, peer.Member, peer.BorrowRequest) (peer.BorrowReply, error)
		Probe           func(context.Context, netip.AddrPort) backend.Health
		StoreAssignment func(context.Context, core.StoreAssignment)
	}

	// Driver owns one kernel.
	Driver struct {
		mu        sync.Mutex
		kernel    *core.Kernel
		clockBase atomic.Pointer[time.Time]
		deps      Dependencies
		running   sync.WaitGroup
	}
)

// New makes a driver. The kernel is made from the driver's own clock.
func New(c core.Config, deps Dependencies) *Driver {
	d := &Driver{deps: deps}
	now := time.Now()
	d.clockBase.Store(&now)
	d.kernel = core.New(c, d.Now())
	return d
}

// Now is the kernel's time: the wall time at the start plus what the monotonic
// clock has counted since. A step of the wall clock must not make a record
// look expired, or a token whose record is gone look fresh again.
func (d *Driver) Now() time.Time {
	base := d.clockBase.Load()
	return base.Round(0).Add(time.Since(*base))
}

// followWallClock follows the wall clock forward, never back. The monotonic clock does
// not count while a VM is paused, so after a pause this process would lag for
// good: every deadline that it sends would lie in the past, and backend servers
// would refuse all its requests. The kernel takes the jump for a freeze and
// uses no quota for a window, so a wall clock that was set wrong costs a second
// and no capacity.
func (d *Driver) followWallClock() {
	now := time.Now()
	if now.Round(0).Sub(d.Now()) > core.ClockTolerance {
		klog.InfoS("clock was behind, perhaps the VM was paused", "by", now.Round(0).Sub(d.Now()).String())
		d.clockBase.Store(&now)
	}
}

// WithKernel runs a function with the kernel under the lock.
func (d *Driver) WithKernel(f func(k *core.Kernel, now time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.kernel, d.Now())
}

// Run ticks until the context ends, then waits for actions under way.
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

// Tick lets the kernel do what is due.
func (d *Driver) Tick(ctx context.Context) {
	d.followWallClock()
	var actions []core.Action
	d.WithKernel(func(k *core.Kernel, now time.Time) { actions = k.Tick(now) })
	d.Perform(ctx, actions)
}

// Perform starts the actions; each reports back to the kernel by itself.
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
		answer := &reply
		if err != nil {
			answer = nil
		}
		d.WithKernel(func(k *core.Kernel, now time.Time) { k.HandleBorrowReply(now, a, answer) })
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
		klog.V(1).InfoS("peer did not answer", "peer", a.To.Name, "address", a.To.PeerAddress, "error", err.Error())
		d.WithKernel(func(k *core.Kernel, now time.Time) { k.HandleExchangeFailure(now, a.To.Name) })
		return
	}
	d.WithKernel(func(k *core.Kernel, now time.Time) { k.HandleExchangeReply(now, sentAt, reply) })
}
