package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/adapter/serverhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// reachabilityProbeTimeout is how long a probe waits for a response: the timeout of a new
	// connection and two round trips between distant regions.
	reachabilityProbeTimeout = 600 * time.Millisecond
	// publishConnectedAfter is how long a proxy must have been connected to servers again before
	// lookups return it. Each change is a write to the store.
	publishConnectedAfter = 2 * time.Second
)

type (
	// reachabilityProber probes servers while this proxy may be cut off from all of them, and
	// publishes the result in the proxy's entry.
	reachabilityProber struct {
		daemon *Daemon
		// cutOff is what the entry publishes.
		cutOff atomic.Bool
		// connectedSince is when the kernel last reported that servers can be reached. Only
		// probeIfNeeded uses it.
		connectedSince time.Time
	}
)

func newReachabilityProber(d *Daemon) *reachabilityProber { return &reachabilityProber{daemon: d} }

// handoverHeaders returns the header names that a client of other proxies uses.
func handoverHeaders(h serverhttp.Headers) serverhttp.Headers {
	return serverhttp.Headers{AttemptID: h.AttemptID, Deadline: h.Deadline, Seal: h.Seal, Limit: h.Limit, Draining: h.Draining, DrainingValue: h.DrainingValue}
}

// published reports whether the proxy's entry must say that it is cut off.
func (p *reachabilityProber) published() bool { return p.cutOff.Load() }

// probeIfNeeded starts the probes that the kernel asks for, and publishes changes.
func (p *reachabilityProber) probeIfNeeded(ctx context.Context) {
	var list []routing.Server
	var due, cutOff bool
	p.daemon.withKernel(func(k *steering.Kernel, now time.Time) {
		list, due = k.ServersToReach(now)
		cutOff = k.CutOff()
	})
	if due {
		go p.probe(ctx, list)
	}
	p.publish(cutOff)
}

func (p *reachabilityProber) publish(cutOff bool) {
	now := p.daemon.now()
	if cutOff {
		p.connectedSince = time.Time{}
	} else if p.connectedSince.IsZero() {
		p.connectedSince = now
	}
	if cutOff == p.cutOff.Load() || !cutOff && now.Sub(p.connectedSince) < publishConnectedAfter {
		return
	}
	p.cutOff.Store(cutOff)
	p.daemon.replica.requestRewrite()
}

// probe probes servers at the same time and reports to the kernel how many responded.
func (p *reachabilityProber) probe(ctx context.Context, list []routing.Server) {
	var responded atomic.Int64
	var probes sync.WaitGroup
	for _, s := range list {
		probes.Go(func() {
			host, path := p.healthCheck(s)
			if err := p.daemon.serverClient.Probe(ctx, s.Address, host, path, reachabilityProbeTimeout); err != nil {
				klog.V(1).InfoS("server does not respond to probe", "server", s.ID, "error", err.Error())
				return
			}
			responded.Add(1)
		})
	}
	probes.Wait()
	p.daemon.withKernel(func(k *steering.Kernel, now time.Time) { k.RecordReachability(now, int(responded.Load()), len(list)) })
}

// healthCheck returns host and path of a server's health check.
func (p *reachabilityProber) healthCheck(s routing.Server) (host, path string) {
	path = "/"
	p.daemon.withKernel(func(k *steering.Kernel, _ time.Time) {
		if t := k.Table(); t != nil && t.Services[s.Service] != nil && t.Services[s.Service].HealthPath != "" {
			path = t.Services[s.Service].HealthPath
		}
	})
	return s.Address.String(), path
}
