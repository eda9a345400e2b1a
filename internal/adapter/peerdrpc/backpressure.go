package peerdrpc

import (
	"math"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerpb"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

func encodeBackpressureReports(list []backpressure.Report) []*peerpb.ServerSignal {
	out := make([]*peerpb.ServerSignal, 0, len(list))
	for _, r := range list {
		out = append(out, &peerpb.ServerSignal{
			Server: uint64(r.Server), AgeMilli: r.Age.Milliseconds(), Limited: r.Limit.Set, LimitPerSecond: r.Limit.PerSecond,
			Leaving: r.Draining,
		})
	}
	return out
}

func decodeBackpressureReports(list []*peerpb.ServerSignal) ([]backpressure.Report, error) {
	var reports []backpressure.Report
	for _, s := range list {
		rate := s.GetLimitPerSecond()
		if math.IsNaN(rate) || rate < 0 {
			return nil, errors.Errorf("signals: limit_per_second must be 0 or more, got %v", rate)
		}
		reports = append(reports, backpressure.Report{
			Server: quarantine.InstanceID(s.GetServer()), Age: max(0, time.Duration(s.GetAgeMilli())*time.Millisecond),
			Limit: backpressure.Limit{Set: s.GetLimited(), PerSecond: rate}, Draining: s.GetLeaving(),
		})
	}
	return reports, nil
}
