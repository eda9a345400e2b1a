package peerdrpc

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/peerpb"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

func encodeQuarantineReports(list []quarantine.Report) []*peerpb.Suspicion {
	out := make([]*peerpb.Suspicion, 0, len(list))
	for _, r := range list {
		s := &peerpb.Suspicion{Work: r.Fingerprint[:], RanWell: r.Succeeded}
		for _, e := range r.Crashes {
			s.Ends = append(s.Ends, &peerpb.ServerEnd{Server: uint64(e.Server), AgeMilli: e.Age.Milliseconds(), Cleared: e.Cleared})
		}
		out = append(out, s)
	}
	return out
}

func decodeQuarantineReports(list []*peerpb.Suspicion) ([]quarantine.Report, error) {
	var reports []quarantine.Report
	for _, s := range list {
		var r quarantine.Report
		if len(s.GetWork()) != len(r.Fingerprint) {
			return nil, errors.Errorf("suspicions: work must have %d bytes, got %d", len(r.Fingerprint), len(s.GetWork()))
		}
		copy(r.Fingerprint[:], s.GetWork())
		r.Succeeded = s.GetRanWell()
		for _, e := range s.GetEnds() {
			r.Crashes = append(r.Crashes, quarantine.Crash{
				Server: quarantine.InstanceID(e.GetServer()), Age: max(0, time.Duration(e.GetAgeMilli())*time.Millisecond), Cleared: e.GetCleared(),
			})
		}
		reports = append(reports, r)
	}
	return reports, nil
}
