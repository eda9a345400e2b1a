package steering

import (
	"encoding/json"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	// maxDifferences bounds the differences that a replay keeps.
	maxDifferences = 20
)

var (
	errNoStart        = errors.New("recording does not begin with the start of a proxy")
	errUnknownRequest = errors.New("recording ends an attempt of a request that it does not begin")
)

type (
	// ReplayResult is what became of a recording when a new kernel was given its calls.
	ReplayResult struct {
		Calls     int
		Decisions int
		// Truncated is set if the recording ends within a call, as that of a
		// process that was killed does.
		Truncated bool
		// DifferenceCount counts the decisions that are others now, Differences tells
		// of the first.
		DifferenceCount int
		Differences     []Difference
		// Candidates are the servers that were weighed for the request asked about.
		Candidates []Candidate
	}

	// Difference is a decision that was recorded and is another one now.
	Difference struct {
		Call     int
		At       time.Time
		Request  string
		Recorded RecordedDecision
		Now      RecordedDecision
	}

	// Candidate is one server as a choice saw it.
	Candidate struct {
		At      time.Time
		Attempt int
		Server  string
		// Usable is false for one that is out, leaves or waits for a probe.
		Usable   bool
		Cold     bool
		HomeRank int
		Warm     bool
		Load     float64
		Slowdown float64
		Expected time.Duration
		Cost     time.Duration
		Chosen   bool
	}

	replayer struct {
		kernel    *Kernel
		requests  map[uint64]*ActiveRequest
		requestID string
		result    ReplayResult
	}
)

// ReplayCalls gives the calls of a recording, JSON values one after the other, to
// a new kernel and compares its decisions with those recorded. For the request
// named, if any, it tells how each server was weighed.
func ReplayCalls(recording io.Reader, about string) (ReplayResult, error) {
	r := &replayer{requestID: about}
	for decoder := json.NewDecoder(recording); ; {
		var c Call
		err := decoder.Decode(&c)
		switch {
		case errors.Is(err, io.EOF):
			return r.result, nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			r.result.Truncated = true
			return r.result, nil
		case err != nil:
			return r.result, errors.Wrapf(err, "call %d", r.result.Calls+1)
		}
		r.result.Calls++
		if err := r.replayCall(c); err != nil {
			return r.result, errors.Wrapf(err, "call %d, %s", r.result.Calls, c.Method)
		}
	}
}

func (r *replayer) replayCall(c Call) error {
	if c.Method == callStart && c.Config != nil {
		// Each start of the process is a kernel of its own.
		r.kernel, r.requests = New(*c.Config), make(map[uint64]*ActiveRequest)
		return nil
	}
	if r.kernel == nil {
		return errNoStart
	}
	k := r.kernel
	switch c.Method {
	case callBounds:
		k.SetBounds(*c.Bounds)
	case callTable:
		k.SetTable(tableOf(c))
	case callServer:
		k.RegisterServer(c.At, *c.Server)
	case callRemove:
		k.RemoveServer(c.At, c.ID)
	case callUnreadable:
		k.MarkServerUnreadable(c.ID)
	case callAbsent:
		k.MarkServerAbsent(c.ID, c.Until)
	case callTick:
		k.Tick(c.At)
	case callRoundTrip:
		k.RecordRoundTrip(c.Domain, c.RoundTrip)
	case callEvacuated:
		k.SetDomainEvacuated(c.At, c.Domain, c.Flag)
	case callLeave:
		k.BeginShutdown(c.Until)
	case callProxies:
		k.SetProxies(c.At, c.Proxies)
	case callIgnoreMissingProxies:
		k.IgnoreMissingProxiesUntil(c.Until)
	case callServersToProbe:
		k.ServersToProbe()
	case callConnectionRefused:
		k.RecordConnectionRefused(c.At, c.ID)
	case callQuarantineReports:
		k.ApplyQuarantineReports(c.At, c.QuarantineReports)
	case callBackpressureReports:
		k.ApplyBackpressureReports(c.At, c.BackpressureReports)
	case callConcurrencyLimits:
		k.ApplyConcurrencyLimits(c.At, c.ServiceLimits)
	case callQuotaReport:
		k.QuotaReport(c.At, c.ID, c.IDs)
	case callHandleQuotaReport:
		k.HandleQuotaReport(c.At, *c.Report)
	case callQuotaGrants:
		k.ApplyQuotaGrants(c.At, c.ReportedAt, c.ID, *c.Grants)
	case callQuotaReportUnanswered:
		k.QuotaReportUnanswered(c.At, c.ID)
	case callTakePoolToken:
		k.TakePoolToken(c.At, c.ID)
	case callBorrowQuota:
		k.BorrowQuota(c.At, c.IDs)
	case callQuotaLoan:
		k.ApplyQuotaLoan(c.At, c.ReportedAt, c.ID, *c.Grants)
	case callFleetSize:
		k.SetFleetSize(c.Count)
	case callResume:
		k.HandleResume(c.At)
	case callSlotRequest:
		k.HandleSlotRequest(c.At, *c.SlotRequest)
	case callSlotRelease:
		k.HandleSlotRelease(c.At, *c.SlotRelease)
	case callBegin, callEnded, callSlotReply, callPoolToken:
		return r.replayRequest(c)
	default:
		return errors.Errorf("do: %q is no call", c.Method)
	}
	return nil
}

// tableOf is the table of a call. Its keys are fingerprints, as those of its requests.
func tableOf(c Call) *routing.Table {
	t := routing.NewTable(c.Table.Version, slices.Collect(maps.Values(c.Table.Routes)), slices.Collect(maps.Values(c.Table.Services)), c.Table.Limits)
	if c.Accounts == nil {
		return t
	}
	accounts, _ := account.NewTable(c.Accounts)
	return t.WithAccounts(accounts)
}

// replayRequest replays a call that decides on a request.
func (r *replayer) replayRequest(c Call) error {
	var req *ActiveRequest
	var d Decision
	if c.Method == callBegin {
		r.observeCandidates(c, c.Request.ID, 1)
		req, d = r.kernel.BeginRequest(c.At, *c.Request)
		r.requests[c.RequestNumber] = req
	} else {
		if req = r.requests[c.RequestNumber]; req == nil {
			return errUnknownRequest
		}
		r.observeCandidates(c, req.ID, (len(req.steps)+1)/2+1)
		switch c.Method {
		case callSlotReply:
			d = r.kernel.HandleSlotReply(c.At, req, *c.SlotReply, c.Flag)
		case callPoolToken:
			d = r.kernel.ApplyPoolToken(c.At, req, *c.Token, c.Flag)
		default:
			d = r.kernel.EndAttempt(c.At, req, *c.Attempt)
		}
	}
	r.compare(c, req, recordedDecisionOf(d))
	return nil
}

// observeCandidates notes how servers are weighed if the request is the one asked about.
func (r *replayer) observeCandidates(c Call, id string, attempt int) {
	r.kernel.observeCandidate = nil
	if r.requestID != "" && id == r.requestID {
		r.kernel.observeCandidate = func(w Candidate) {
			w.At, w.Attempt = c.At, attempt
			r.result.Candidates = append(r.result.Candidates, w)
		}
	}
}

func (r *replayer) compare(c Call, req *ActiveRequest, now RecordedDecision) {
	r.result.Decisions++
	if now.Server != "" {
		for i := range r.result.Candidates {
			if w := &r.result.Candidates[i]; w.At.Equal(c.At) && w.Server == now.Server {
				w.Chosen = true
			}
		}
	}
	if now == *c.Decision {
		return
	}
	r.result.DifferenceCount++
	if len(r.result.Differences) < maxDifferences {
		r.result.Differences = append(r.result.Differences, Difference{
			Call: r.result.Calls, At: c.At, Request: req.ID, Recorded: *c.Decision, Now: now,
		})
	}
	r.moveToRecorded(req, c.Decision.Server)
}

// moveToRecorded puts a request at the server where it was recorded, so that what is
// recorded of its attempt applies to the server that it was sent to.
func (r *replayer) moveToRecorded(req *ActiveRequest, id string) {
	if req.server != nil && req.server.id != id && req.server.inFlight > 0 {
		req.server.inFlight--
	}
	s := r.kernel.servers[id]
	if s == nil {
		s = &server{id: id, slowdown: 1, rtt: &rttEstimate{}}
	}
	if s != req.server {
		s.inFlight++
	}
	req.server = s
}
