package steering

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/placing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
	"github.com/gypsumquay/gypsumquay/internal/kernel/shutdown"
)

const (
	// Names of the recorded calls: those that change the state of a kernel or decide on a request.
	callStart                = "start"
	callBounds               = "bounds"
	callTable                = "table"
	callServer               = "server"
	callRemove               = "remove-server"
	callAbsent               = "server-absent"
	callConcurrencyLimits    = "holding"
	callSlotReply            = "asked"
	callSlotRequest          = "hear-ask"
	callSlotRelease          = "hear-release"
	callUnreadable           = "server-unreadable"
	callTick                 = "tick"
	callRoundTrip            = "measured"
	callEvacuated            = "evacuated"
	callLeave                = "leave"
	callProxies              = "proxies"
	callListing              = "listing"
	callRegistered           = "registered"
	callIgnoreMissingProxies = "doubt-proxies"
	callBegin                = "begin"
	callEnded                = "ended"
	callBeginHedge           = "begin-hedge"
	callServersToProbe       = "doubted"
	callConnectionRefused    = "server-refusing"
	callQuarantineReports    = "suspicions"
	callBackpressureReports  = "signals"
	callQuotaReport          = "limit-report"
	callHandleQuotaReport    = "hear-limit-report"
	callQuotaGrants          = "hear-grants"
	callMarkPoolUnresponsive = "limit-report-unanswered"
	callTakePoolToken        = "take-token"
	callPoolToken            = "token"
	callBorrowQuota          = "borrow"
	callQuotaLoan            = "hear-loan"
	callFleetSize            = "fleet"
	callResume               = "resumed"
	callRegionDemand         = "region-demand"
	callServersToReach       = "servers-to-reach"
	callReachability         = "reachability"
	callEndHandover          = "handover-ended"
)

type (
	// Call records one call of a kernel with its arguments and, if it decided on a request, the
	// decision. A kernel reads no clock and uses its own random seed, so the same calls lead to the
	// same decisions.
	Call struct {
		Method        string            `json:"do"`
		At            time.Time         `json:"at,omitzero"`
		Config        *Config           `json:"config,omitempty"`
		Bounds        *Bounds           `json:"bounds,omitempty"`
		Table         *routing.Table    `json:"table,omitempty"`
		Server        *routing.Server   `json:"server,omitempty"`
		ID            string            `json:"id,omitempty"`
		Until         time.Time         `json:"until,omitzero"`
		Shutdown      *shutdown.Plan    `json:"shutdown,omitempty"`
		Domain        string            `json:"failure-domain,omitempty"`
		Flag          bool              `json:"on,omitempty"`
		RoundTrip     time.Duration     `json:"took,omitempty"`
		Proxies       []Proxy           `json:"proxies,omitempty"`
		RequestNumber uint64            `json:"flight,omitempty"`
		Request       *Request          `json:"request,omitempty"`
		Attempt       *Attempt          `json:"attempt,omitempty"`
		Decision      *RecordedDecision `json:"decision,omitempty"`
		Handover      *HandoverResult   `json:"handover,omitempty"`
		ServiceLimits []ServiceLimit    `json:"holding,omitempty"`
		SlotRequest   *SlotRequest      `json:"ask,omitempty"`
		SlotReply     *SlotReply        `json:"reply,omitempty"`
		SlotRelease   *SlotRelease      `json:"release,omitempty"`
		// QuarantineReports are a peer's reports on request fingerprints that crash servers.
		QuarantineReports []quarantine.Report `json:"suspicions,omitempty"`
		// BackpressureReports are a peer's reports on the backpressure of servers.
		BackpressureReports []backpressure.Report `json:"signals,omitempty"`
		// DemandFigures are the measured demand of regions that a peer knows.
		DemandFigures []placing.DemandFigure `json:"region-demand,omitempty"`
		// Accounts are the client accounts of a table. The fields that follow belong to calls about
		// their limits.
		Accounts    []*account.Account    `json:"accounts,omitempty"`
		RequestedAt time.Time             `json:"asked,omitzero"`
		Report      *ratelimit.Report     `json:"report,omitempty"`
		Grants      *ratelimit.Grants     `json:"grants,omitempty"`
		Token       *ratelimit.TokenReply `json:"token,omitempty"`
		Count       int                   `json:"count,omitempty"`
		Total       int                   `json:"total,omitempty"`
		IDs         []string              `json:"ids,omitempty"`
	}

	// RecordedDecision is a decision in its recorded form.
	RecordedDecision struct {
		Server         string        `json:"server,omitempty"`
		ReturnResponse bool          `json:"answer,omitempty"`
		Reason         Reason        `json:"reason,omitempty"`
		NotRun         bool          `json:"not-run,omitempty"`
		RetryAfter     time.Duration `json:"come-back,omitempty"`
		QuotaPool      string        `json:"pool,omitempty"`
		Handover       string        `json:"handover,omitempty"`
	}
)

// record passes a call to Config.Record if it is set.
func (k *Kernel) record(c Call) {
	if k.config.Record != nil {
		k.config.Record(c)
	}
}

func recordedDecisionOf(d Decision) RecordedDecision {
	v := RecordedDecision{ReturnResponse: d.ReturnResponse, Reason: d.Reason, NotRun: d.NotRun, RetryAfter: d.RetryAfter, QuotaPool: d.QuotaPool}
	if d.Server != nil {
		v.Server = d.Server.ID
	}
	if d.Handover != nil {
		v.Handover = d.Handover.Proxy
	}
	return v
}
