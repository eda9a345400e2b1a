package peer

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

type (
	// Versions holds the versions of the documents that a proxy has. Two proxies compare their
	// versions, and only the proxy that is behind requests documents.
	Versions struct {
		Bundle     uint64 `json:"bundle"`
		Assignment uint64 `json:"assignment"`
		VMList     uint64 `json:"machines"`
		Members    uint64 `json:"members"`
		Prefixes   uint64 `json:"prefixes"`
		// MemberCount is the number of members that the sender knows.
		MemberCount int `json:"known"`
	}

	// Exchange is the periodic gossip message between two proxies and its reply. The reply carries
	// the documents in which the requester is behind.
	Exchange struct {
		From       string
		Stamp      Stamp
		Versions   Versions
		Members    []Member
		Bundle     []byte
		Assignment []byte
		VMList     []byte
		// Rows holds the sender's current rows of the traffic matrix by home region, in thousandths
		// and in the order of the sender's bundle. A proxy that joins starts from them.
		Rows [][]int
		// QuarantineReports reports the requests that were running when backend servers crashed.
		QuarantineReports []quarantine.Report
		// BackpressureReports reports the backpressure that backend servers signal to all proxies.
		BackpressureReports []backpressure.Report
	}

	// BorrowRequest requests a loan of a resource's quota. If Renew is set, it requests the renewal
	// of that loan with the amount Want.
	BorrowRequest struct {
		From     string
		Stamp    Stamp
		Resource Resource
		Want     int
		Renew    LoanID
	}

	// BorrowReply grants quota for LoanTTL, counted from the time at which the borrower sent its
	// request.
	BorrowReply struct {
		Stamp  Stamp
		Loan   LoanID
		Amount int
	}

	// ForwardRequest forwards a request to the minter of its token.
	ForwardRequest struct {
		From     string
		Stamp    Stamp
		Token    string
		Service  string
		Method   string
		Path     string
		Client   string
		Header   map[string][]string
		Body     []byte
		Deadline time.Time
	}

	// ForwardReply is the final result of a forwarded request.
	ForwardReply struct {
		Stamp  Stamp
		Result caller.Result
	}

	// HandoverRequest transfers the token records of a stopping minter to a peer.
	HandoverRequest struct {
		From    string
		Stamp   Stamp
		Records []caller.Handover
	}
)
