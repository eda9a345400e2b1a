package forward

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	// journal writes decisions as log lines.
	journal struct{}
)

func (j *journal) event(e steering.Event) {
	switch e.Kind {
	case steering.EventSent:
		return
	case steering.EventAttemptEnded:
		if e.Result == steering.Answered {
			klog.V(2).InfoS("answered", "request", e.Request, "route", e.Route, "service", e.Service, "server", e.Server,
				"object", e.Object, "expected", e.Expected.String(), "took", e.Took.String())
			return
		}
		klog.InfoS("attempt ended", "request", e.Request, "route", e.Route, "service", e.Service, "server", e.Server,
			"attempt", e.Attempt, "result", e.Result.String(), "expected", e.Expected.String(), "took", e.Took.String(), "error", text(e.Err))
	case steering.EventFinished:
		if e.Reason == steering.ReasonNone {
			return
		}
		klog.InfoS("request ended without an answer", "request", e.Request, "route", e.Route, "service", e.Service,
			"server", e.Server, "reason", string(e.Reason), "took", e.Took.String(), "attempts", e.Attempt)
	default:
		klog.InfoS(string(e.Kind), "service", e.Service, "server", e.Server, "failure-domain", e.Domain,
			"version", e.Version, "draining", e.Draining, "for", e.Took.String())
	}
}

func (j *journal) finished(string, int, steering.Reason, time.Duration) {}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
