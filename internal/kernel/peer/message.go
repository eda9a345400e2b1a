package peer

import (
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

type (
	// Versions sums up what a proxy knows. Two proxies compare them and only
	// the one behind asks for more.
	Versions struct {
		Bundle     uint64 `json:"bundle"`
		Assignment uint64 `json:"assignment"`
		Machines   uint64 `json:"machines"`
		Members    uint64 `json:"members"`
		Prefixes   uint64 `json:"prefixes"`
		// MemberCount is how many members the sender knows.
		MemberCount int `json:"known"`
	}

	// Exchange is the periodic message between two proxies and its reply.
	// The reply carries documents in which the asker is behind.
	Exchange struct {
		From       string
		Stamp      Stamp
		Versions   Versions
		Members    []Member
		Bundle     []byte
		Assignment []byte
		Machines   []byte
		// Rows tell a newcomer how the sender spreads traffic now, by home
		// region, in thousandths in the order of the sender's bundle.
		Rows [][]int
		// QuarantineReports are works that were there at the ends of backend servers.
		QuarantineReports []quarantine.Report
		// BackpressureReports are what backend servers ask of all proxies.
		BackpressureReports []backpressure.Report
	}

	// BorrowRequest asks for quota of one resource. With a loan's number it
	// asks to keep Want of that loan up.
	BorrowRequest struct {
		From     string
		Stamp    Stamp
		Resource Resource
		Want     int
		Renew    LoanID
	}

	// BorrowReply grants quota for LoanTTL, counted from before the request.
	BorrowReply struct {
		Stamp  Stamp
		Loan   LoanID
		Amount int
	}

	// ForwardRequest hands a request to the minter of its token.
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

	// HandoverRequest leaves a stopping minter's records to a peer.
	HandoverRequest struct {
		From    string
		Stamp   Stamp
		Records []caller.Handover
	}
)
