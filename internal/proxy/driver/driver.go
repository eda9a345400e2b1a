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
		mu     sync.Mutex
		kernel *core.Kernel
		base   atomic.Pointer[time.Time]
		seams  Dependencies
		work   sync.WaitGroup
	}
)

// New makes a driver. The kernel is made from the driver's own clock.
func New(c core.Config, s Dependencies) *Driver {
	d := &Driver{seams: s}
	now := time.Now()
	d.base.Store(&now)
	d.kernel = core.New(c, d.Now())
	return d
}

// Now is the kernel's time: the wall time at the start plus what the monotonic
// clock has counted since. A step of the wall clock must not make a record
// look expired, or a token whose record is gone look fresh again.
func (d *Driver) Now() time.Time {
	base := d.base.Load()
	return base.Round(0).Add(time.Since(*base))
}

// catchUp follows the wall clock forward, never back. The monotonic clock does
// not count while a VM is paused, so after a pause this process would lag for
// good: every deadline that it sends would lie in the past, and backend servers
// would refuse all its requests. The kernel takes the jump for a freeze and
// uses no quota for a window, so a wall clock that was set wrong costs a second
// and no capacity.
func (d *Driver) catchUp() {
	now := time.Now()
	if now.Round(0).Sub(d.Now()) > core.ClockTolerance {
		klog.InfoS("clock was behind, perhaps the VM was paused", "by", now.Round(0).Sub(d.Now()).String())
		d.base.Store(&now)
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
			d.work.Wait()
			return
		case <-ticker.C:
			d.Tick(ctx)
		}
	}
}

// Tick lets the kernel do what is due.
func (d *Driver) Tick(ctx context.Context) {
	d.catchUp()
	var actions []core.Action
	d.WithKernel(func(k *core.Kernel, now time.Time) { actions = k.Tick(now) })
	d.Perform(ctx, actions)
}

// Perform starts the actions; each reports back to the kernel by itself.
func (d *Driver) Perform(ctx context.Context, actions []core.Action) {
	for _, a := range actions {
		d.work.Go(func() { d.perform(ctx, a) })
	}
}

func (d *Driver) perform(ctx context.Context, action core.Action) {
	switch a := action.(type) {
	case core.SendExchange:
		d.exchange(ctx, a)
	case core.SendBorrow:
		reply, err := d.seams.Borrow(ctx, a.To, a.Message)
		answer := &reply
		if err != nil {
			answer = nil
		}
		d.WithKernel(func(k *core.Kernel, now time.Time) { k.HandleBorrowReply(now, a, answer) })
	case core.SendProbe:
		health := d.seams.Probe(ctx, a.Address)
		d.WithKernel(func(k *core.Kernel, now time.Time) { k.HandleProbeResult(now, a.Server, health) })
	case core.StoreAssignment:
		d.seams.StoreAssignment(ctx, a)
	}
}

func (d *Driver) exchange(ctx context.Context, a core.SendExchange) {
	asked := d.Now()
	reply, err := d.seams.Exchange(ctx, a.To, a.Message)
	if err != nil {
		klog.V(1).InfoS("peer did not answer", "peer", a.To.Name, "address", a.To.PeerAddress, "error", err.Error())
		d.WithKernel(func(k *core.Kernel, now time.Time) { k.HandleExchangeFailure(now, a.To.Name) })
		return
	}
	d.WithKernel(func(k *core.Kernel, now time.Time) { k.HandleExchangeReply(now, asked, reply) })
}
