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
	// Dispatch sends the request to Server under Attempt.
	Dispatch Step = iota + 1
	// Forward hands the request to Peer, the minter of its token.
	Forward
	// Finish gives the caller Result.
	Finish
)

type (
	// Step says what to do next with a request.
	Step uint8

	// Attempt identifies one dispatch. A late answer carries the attempt it
	// belongs to and can never be taken for another's.
	Attempt struct {
		flight int
		serial uint64
	}

	// Request is what a decision needs to know of a caller's request.
	Request struct {
		Service string
		Method  string
		Path    string
		Client  netip.Addr
		// Work names what a server would run.
		Work     quarantine.Fingerprint
		Token    string
		Deadline time.Time
		// Forwarded requests came from a peer and are not forwarded again,
		// or two proxies with unlike views could pass one on for ever.
		Forwarded bool
	}

	// Decision is the next step of a request.
	Decision struct {
		Step       Step
		Attempt    Attempt
		Server     *backend.Server
		Idempotent bool
		// ID names the request towards the backend server and in events.
		ID       string
		Deadline time.Time
		Peer     peer.Member
		Result   caller.Result
		// NewToken is offered with a refusal for want of a token.
		NewToken string
	}

	// AttemptEnd reports how a dispatch ended.
	AttemptEnd struct {
		Attempt Attempt
		Result  backend.Result
		Answer  *caller.Answer
		Report  *backend.Report
		// Final means that no other attempt may follow: the caller has got
		// bytes of this answer, or has gone.
		Final bool
		// Refusing is set if nothing listens at the server's address.
		Refusing bool
	}

	// Action is something for the driver to do; its outcome comes back
	// through the kernel's method named with it.
	Action interface{ action() }

	// SendExchange asks for a call to a peer; see HearReply and ExchangeLost.
	SendExchange struct {
		To      peer.Member
		Message peer.Exchange
	}

	// SendBorrow asks a peer for quota; see BorrowAnswered.
	SendBorrow struct {
		To      peer.Member
		Message peer.BorrowRequest
		Asked   time.Time
	}

	// SendProbe asks a backend server for its health; see ProbeEnded.
	SendProbe struct {
		Server  string
		Address netip.AddrPort
	}

	// StoreAssignment asks for a compare-and-swap; the new value is heard
	// back through HearAssignment like any other.
	StoreAssignment struct {
		Expect uint64
		Value  *kv.Assignment
	}
)

func (SendExchange) action()    {}
func (SendBorrow) action()      {}
func (SendProbe) action()       {}
func (StoreAssignment) action() {}

// Serial numbers the dispatches of one process.
func (a Attempt) Serial() uint64 { return a.serial }
