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
	// maxDifferences limits the differences that a replay keeps.
	maxDifferences = 20
)

var (
	errNoShutdownPlan  = errors.New("shutdown: must be the plan of a shutdown, got nothing")
	errNoStart         = errors.New("recording does not begin with the start of a proxy")
	errUnknownRequest  = errors.New("recording continues a request that it does not begin")
	errUnknownHandover = errors.New("recording ends a handover that the replay does not begin")
)

type (
	// ReplayResult is the result of replaying a recording on a new kernel.
	ReplayResult struct {
		Calls     int
		Decisions int
		// Truncated is set if the recording ends within a call, for example because the process was
		// killed.
		Truncated bool
		// DifferenceCount counts the decisions that differ from the recording. Differences holds
		// the first of them.
		DifferenceCount int
		Differences     []Difference
		// Candidates are the servers that were considered for the selected request.
		Candidates []Candidate
	}

	// Difference is a decision that differs from the recorded one.
	Difference struct {
		Call     int
		At       time.Time
		Request  string
		Recorded RecordedDecision
		Now      RecordedDecision
	}

	// Candidate describes one server as it was considered by a choice.
	Candidate struct {
		At      time.Time
		Attempt int
		Server  string
		// Usable is false for a server that is ejected, drains or waits for a probe.
		Usable   bool
		Cold     bool
		HomeRank int
		Warm     bool
		Load     float64
		Slowdown float64
		// WorkFactor is the work factor that the server reports.
		WorkFactor float64
		Expected   time.Duration
		Cost       time.Duration
		Chosen     bool
	}

	replayer struct {
		kernel    *Kernel
		requests  map[uint64]*ActiveRequest
		requestID string
		result    ReplayResult
	}
)

// ReplayCalls replays the calls of a recording, a sequence of JSON values, on a new kernel and
// compares its decisions with the recorded ones. If requestID names a request, the result lists the
// servers that were considered for it.
func ReplayCalls(recording io.Reader, requestID string) (ReplayResult, error) {
	r := &replayer{requestID: requestID}
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
		// Each start of the process has its own kernel.
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
		if c.Shutdown == nil {
			return errNoShutdownPlan
		}
		k.BeginShutdown(*c.Shutdown)
	case callProxies:
		k.SetProxies(c.At, c.Proxies)
	case callListing:
		k.ConfirmListing(c.At, c.RequestedAt, c.Flag)
	case callRegistered:
		k.RecordRegistration(c.At)
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
	case callRegionDemand:
		k.ApplyRegionDemand(c.At, c.DemandFigures)
	case callConcurrencyLimits:
		k.ApplyConcurrencyLimits(c.At, c.ServiceLimits)
	case callQuotaReport:
		k.QuotaReport(c.At, c.ID, c.IDs)
	case callHandleQuotaReport:
		k.HandleQuotaReport(c.At, *c.Report)
	case callQuotaGrants:
		k.ApplyQuotaGrants(c.At, c.RequestedAt, c.ID, *c.Grants)
	case callMarkPoolUnresponsive:
		k.MarkPoolUnresponsive(c.At, c.ID)
	case callTakePoolToken:
		k.TakePoolToken(c.At, c.ID)
	case callBorrowQuota:
		k.BorrowQuota(c.At, c.IDs)
	case callQuotaLoan:
		k.ApplyQuotaLoan(c.At, c.RequestedAt, c.ID, *c.Grants)
	case callFleetSize:
		k.SetFleetSize(c.Count)
	case callResume:
		k.HandleResume(c.At)
	case callSlotRequest:
		k.HandleSlotRequest(c.At, *c.SlotRequest)
	case callSlotRelease:
		k.HandleSlotRelease(c.At, *c.SlotRelease)
	case callServersToReach:
		k.ServersToReach(c.At)
	case callReachability:
		k.RecordReachability(c.At, c.Count, c.Total)
	case callBegin, callEnded, callBeginHedge, callSlotReply, callPoolToken, callEndHandover:
		return r.replayRequest(c)
	default:
		return errors.Errorf("do: unknown call %q", c.Method)
	}
	return nil
}

// tableOf returns the table of a call. Its account keys are fingerprints, as are those of the
// recorded requests.
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
		case callBeginHedge:
			d = r.kernel.BeginHedge(c.At, req)
		case callEndHandover:
			if req.handover == nil {
				return errUnknownHandover
			}
			d = r.kernel.EndHandover(c.At, req, *c.Handover)
		default:
			d = r.kernel.EndAttempt(c.At, req, *c.Attempt)
		}
	}
	r.compare(c, req, recordedDecisionOf(d))
	return nil
}

// observeCandidates records the considered servers if the request is the selected one.
func (r *replayer) observeCandidates(c Call, id string, attempt int) {
	r.kernel.observeCandidate = nil
	if r.requestID != "" && id == r.requestID {
		r.kernel.observeCandidate = func(candidate Candidate) {
			candidate.At, candidate.Attempt = c.At, attempt
			r.result.Candidates = append(r.result.Candidates, candidate)
		}
	}
}

func (r *replayer) compare(c Call, req *ActiveRequest, replayed RecordedDecision) {
	r.result.Decisions++
	if replayed.Server != "" {
		for i := range r.result.Candidates {
			if candidate := &r.result.Candidates[i]; candidate.At.Equal(c.At) && candidate.Server == replayed.Server {
				candidate.Chosen = true
			}
		}
	}
	if replayed == *c.Decision {
		return
	}
	r.result.DifferenceCount++
	if len(r.result.Differences) < maxDifferences {
		r.result.Differences = append(r.result.Differences, Difference{
			Call: r.result.Calls, At: c.At, Request: req.ID, Recorded: *c.Decision, Now: replayed,
		})
	}
	if c.Method == callBeginHedge {
		r.moveHedgeToRecorded(c.At, req, c.Decision.Server)
		return
	}
	r.moveToRecorded(req, c.Decision.Server)
}

// moveToRecorded moves a request to the server that was recorded for it, so that the recorded
// result of its attempt is applied to the server that it was sent to.
func (r *replayer) moveToRecorded(req *ActiveRequest, id string) {
	if req.server != nil && req.server.id != id && req.server.inFlight > 0 {
		req.server.inFlight--
	}
	s := r.recordedServer(id)
	if s != req.server {
		s.use()
		s.inFlight++
	}
	req.server = s
}

// moveHedgeToRecorded replaces the hedge of a request by the recorded one, or removes it if none
// was recorded.
func (r *replayer) moveHedgeToRecorded(now time.Time, req *ActiveRequest, id string) {
	if req.hedge != nil {
		r.kernel.cancelAttempt(now, req, req.hedge, ResultCancelled)
		req.hedge = nil
	}
	if id != "" {
		r.kernel.startHedge(now, req, r.recordedServer(id))
	}
}

// recordedServer returns the server with a recorded ID, or a stand-in if it is not known.
func (r *replayer) recordedServer(id string) *server {
	if s := r.kernel.servers[id]; s != nil {
		return s
	}
	return &server{id: id, serverUse: unused, rtt: &rttEstimate{}}
}
