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
	// maxReleaseAttempts bounds the tries to give slots back. Without the platform
	// they stay assigned until its list shows that the VM is gone.
	maxReleaseAttempts = 5
)

// stopGracefully is the planned stop: leave look-ups, serve until no cached answer
// names this proxy, finish every request, leave the records to a peer, give
// the quota slots back, and only then go.
func (d *Daemon) stopGracefully(ctx context.Context) {
	klog.InfoS("planned stop begun")
	d.driver.WithKernel(func(k *core.Kernel, now time.Time) { k.BeginStop(now) })
	d.waitUntil(func(k *core.Kernel, now time.Time) bool { return k.MayStopServing(now) })
	// Shutdown refuses new connections and ends idle ones; requests that are
	// in flight finish.
	if err := d.callerServer.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "callers' listener")
	}
	d.runner.Wait()
	d.waitUntil(func(k *core.Kernel, _ time.Time) bool { return k.Drained() })
	d.handOverRecords(ctx)
	d.releaseSlots(ctx)
	klog.InfoS("planned stop done")
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

// handOverRecords leaves the token records to the first peer that takes them.
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
			klog.ErrorS(err, "peer did not take the records", "peer", successor.Name)
			continue
		}
		var actions []core.Action
		d.driver.WithKernel(func(k *core.Kernel, now time.Time) { actions = k.FinishHandover(now, successor.Name) })
		d.driver.Perform(ctx, actions)
		klog.InfoS("records handed over", "peer", successor.Name, "minters", len(records))
		return
	}
	klog.InfoS("no peer took the records; repeats of this proxy's tokens will be answered unknown")
}

// releaseSlots gives the quota slots back. A store that loses a race hears the
// newer assignment, so the next try starts from that.
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
