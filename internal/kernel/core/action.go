package core

import (
	"net/netip"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

const (
	// StepDispatch sends the request to Decision.Server as Decision.Attempt.
	StepDispatch Step = iota + 1
	// StepForward forwards the request to Decision.Peer, the minter of its token.
	StepForward
	// StepFinish returns Decision.Result to the caller.
	StepFinish
)

type (
	// Step is the next step in processing a request.
	Step uint8

	// Attempt identifies one dispatch. The serial number keeps a late response from being
	// attributed to a newer attempt that reuses the handle.
	Attempt struct {
		handle int
		serial uint64
	}

	// Request holds the properties of a caller's request that decisions depend on.
	Request struct {
		Service string
		Method  string
		Path    string
		Client  netip.Addr
		// Fingerprint identifies what a backend server would run for the request.
		Fingerprint quarantine.Fingerprint
		Token       string
		Deadline    time.Time
		// Forwarded is set for a request received from a peer. It is not forwarded again, since two
		// proxies with different membership views could otherwise forward it in a loop.
		Forwarded bool
	}

	// Decision is the next step of a request.
	Decision struct {
		Step       Step
		Attempt    Attempt
		Server     *backend.Server
		Idempotent bool
		// ID identifies the request to the backend server and in events.
		ID       string
		Deadline time.Time
		Peer     peer.Member
		Result   caller.Result
		// NewToken is a fresh token, returned with the rejection of a request that lacks one.
		NewToken string
	}

	// AttemptEnd reports how a dispatch ended.
	AttemptEnd struct {
		Attempt  Attempt
		Result   backend.Result
		Response *caller.Response
		Report   *backend.Report
		// NoRetry is set if no further attempt may follow, because the caller has received part of
		// this response or has disconnected.
		NoRetry bool
		// ConnectionRefused is set if nothing listens on the server's address.
		ConnectionRefused bool
	}

	// Action is an operation that the driver performs. The driver passes its outcome back through
	// the Kernel method that the concrete type names.
	Action interface{ action() }

	// SendExchange sends an exchange to a peer. The outcome goes to HandleExchangeReply or
	// HandleExchangeFailure.
	SendExchange struct {
		To      peer.Member
		Message peer.Exchange
	}

	// SendBorrow asks a peer for quota. The outcome goes to HandleBorrowReply.
	SendBorrow struct {
		To      peer.Member
		Message peer.BorrowRequest
		SentAt  time.Time
	}

	// SendProbe probes the health of a backend server. The outcome goes to HandleProbeResult.
	SendProbe struct {
		Server  string
		Address netip.AddrPort
	}

	// StoreAssignment stores an assignment by compare-and-swap on ExpectedVersion. The driver
	// passes the stored value to ApplyAssignment, like any other version.
	StoreAssignment struct {
		ExpectedVersion uint64
		Value           *kv.Assignment
	}
)

func (SendExchange) action()    {}
func (SendBorrow) action()      {}
func (SendProbe) action()       {}
func (StoreAssignment) action() {}

// Serial returns the number of the dispatch, counted per process.
func (a Attempt) Serial() uint64 { return a.serial }
