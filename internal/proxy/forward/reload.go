package forward

import (
	"context"
	"reflect"
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// reloadInterval is how often the settings are read without a signal, since they may change
	// without one.
	reloadInterval = 5 * time.Second
)

// watchSettings reloads the settings on each signal and at every reloadInterval.
func (d *Daemon) watchSettings(ctx context.Context, reload <-chan struct{}) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastError := ""
	for {
		requested := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			requested = true
		case <-ticker.C:
		}
		s, err := d.deps.LoadSettings()
		if err == nil {
			lastError = ""
			d.reload(s, requested)
			continue
		}
		if requested || err.Error() != lastError {
			lastError = err.Error()
			klog.ErrorS(err, "invalid settings; the previous ones stay in force")
		}
	}
}

// reload applies changed bounds. Names, locations and addresses are fixed for the life of the
// process: a change of those is logged and takes effect at the next start.
func (d *Daemon) reload(s *Settings, requested bool) {
	changed := !reflect.DeepEqual(s.Bounds, d.bounds())
	if changed {
		d.withKernel(func(k *steering.Kernel, _ time.Time) { k.SetBounds(kernelBounds(s)) })
		d.setBounds(s.Bounds)
	}
	fixed := *s
	fixed.Bounds = d.settings.Bounds
	needsRestart := !reflect.DeepEqual(&fixed, d.settings)
	if changed || requested {
		klog.InfoS("settings in force", "bounds-changed", changed, "other-changes-wait-for-a-start", needsRestart)
	}
}

func (d *Daemon) bounds() Bounds {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.currentBounds
}

func (d *Daemon) setBounds(b Bounds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.currentBounds = b
}

func kernelBounds(s *Settings) steering.Bounds {
	return steering.Bounds{
		Retry: steering.RetryBudget{
			Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow,
		},
		ColdFactor: s.Bounds.ColdFactor, ColdSlack: s.Bounds.ColdSlack,
		Quota: ratelimit.Overage{Window: s.Bounds.QuotaWindow, Ratio: s.Bounds.QuotaRatio, Requests: s.Bounds.QuotaRequests},
	}
}
