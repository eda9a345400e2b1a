package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	stopPollInterval = 50 * time.Millisecond
	// maxReleaseAttempts limits the attempts to release the quota slots. If the platform cannot be
	// reached, the slots stay assigned until its list of VMs shows that the VM is gone.
	maxReleaseAttempts = 5
)

// stopGracefully performs a graceful shutdown. Lookup responses no longer name the proxy. It serves
// until no cached lookup response names it, finishes all requests, hands its token records over to
// a peer and releases its quota slots before the process exits.
func (d *Daemon) stopGracefully(ctx context.Context) {
	klog.InfoS("graceful shutdown started")
	d.driver.WithKernel(func(k *core.Kernel, now time.Time) { k.BeginStop(now) })
	d.waitUntil(func(k *core.Kernel, now time.Time) bool { return k.MayStopServing(now) })
	// Shutdown stops accepting connections, closes idle ones and waits for requests in flight.
	if err := d.callerServer.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "failed to shut down the server for callers")
	}
	d.runner.Wait()
	d.waitUntil(func(k *core.Kernel, _ time.Time) bool { return k.Drained() })
	d.handOverRecords(ctx)
	d.releaseSlots(ctx)
	klog.InfoS("graceful shutdown completed")
}

func (d *Daemon) waitUntil(done func(*core.Kernel, time.Time) bool) {
	for {
		finished := false
		d.driver.WithKernel(func(k *core.Kernel, now time.Time) { finished = done(k, now) })
		if finished {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// handOverRecords transfers the token records to the first peer that accepts them.
func (d *Daemon) handOverRecords(ctx context.Context) {
	var records []caller.Handover
	var successors []peer.Member
	var stamp peer.Stamp
	d.driver.WithKernel(func(k *core.Kernel, now time.Time) {
		records, successors = k.CloseRecords()
		stamp = k.Stamp(now)
	})
	for _, successor := range successors {
		message := peer.HandoverRequest{From: d.settings.Name, Stamp: stamp, Records: records}
		if _, err := d.peerClient.Handover(ctx, successor, message); err != nil {
			klog.ErrorS(err, "failed to hand token records over to peer", "peer", successor.Name)
			continue
		}
		var actions []core.Action
		d.driver.WithKernel(func(k *core.Kernel, now time.Time) { actions = k.FinishHandover(now, successor.Name) })
		d.driver.Perform(ctx, actions)
		klog.InfoS("handed token records over", "peer", successor.Name, "minters", len(records))
		return
	}
	klog.InfoS("no peer accepted the token records; retries with tokens of this proxy will get the outcome unknown")
}

// releaseSlots releases the quota slots. A store that fails because of a concurrent update applies
// the newer assignment to the kernel, so the next attempt is based on it.
func (d *Daemon) releaseSlots(ctx context.Context) {
	for range maxReleaseAttempts {
		var next *kv.Assignment
		d.driver.WithKernel(func(k *core.Kernel, now time.Time) { next = k.ReleaseSlots(now) })
		if next == nil {
			return
		}
		d.storeAssignment(ctx, core.StoreAssignment{ExpectedVersion: next.Version - 1, Value: next})
	}
}
