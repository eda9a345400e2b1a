package ratelimit

import (
	"time"
)

const (
	// ReportInterval is the interval at which a proxy reports to its pool.
	ReportInterval = 100 * time.Millisecond
	// grantTTL is the lifetime of a granted share. The holder counts it from before it sent the
	// report. Two consecutive reports may be lost before the grant expires.
	grantTTL = 300 * time.Millisecond
	// minDepositLeft is the minimum remaining lifetime of a deposit that may back new grants.
	minDepositLeft = 200 * time.Millisecond
	// depositTTL is the lifetime of a deposit. The pool counts it from before the proxy made the
	// deposit.
	depositTTL = 500 * time.Millisecond
	// poolRampUp is the time a pool needs after it has received its deposits to serve the
	// requests that were denied before.
	poolRampUp = 400 * time.Millisecond
	// clockDriftMargin is added by the giver of a share before it uses the share again, to allow
	// for clocks that run at different rates.
	clockDriftMargin = 50 * time.Millisecond
)

type (
	// Report is what a proxy sends to the pool of its region: the base share that it deposits for
	// a limited time, and the shares that it requests.
	Report struct {
		From string
		// Part is the base share that the proxy deposits; zero if it deposits nothing. The
		// deposit expires some time after Echo, the last pool clock that the proxy has received.
		Part Share
		Pool uint64
		Echo time.Duration
		// Applied is the ID of the last reply that the proxy has applied.
		Applied uint64
		Wants   []AccountShare
		// Starter is the base share of a process that has just started. It is sent until the pool
		// replies. Start identifies the run of the process.
		Starter Share
		Start   uint64
		// Withdraws is set if the proxy withdraws its deposit and has given up everything that
		// the pool granted it.
		Withdraws bool
		// Lends is set if the sender is the pool of another region and requests a loan of spare
		// shares.
		Lends bool
	}

	// AccountShare is a share of the limit of an account.
	AccountShare struct {
		Account string
		Share   Share
	}

	// Grants is a pool's reply to a report. It replaces all earlier grants.
	Grants struct {
		// Pool identifies the run of the pool's process. Clock is the time since the pool
		// started.
		Pool  uint64
		Clock time.Duration
		ID    uint64
		// Shares are valid for the duration For, counted from before the report was sent.
		Shares []AccountShare
		For    time.Duration
		// Withdrawn is set if the deposit has been returned to the proxy.
		Withdrawn bool
	}

	// TokenReply is a pool's reply to a proxy that requests a token for one request.
	TokenReply struct {
		Granted bool
		// Wait is the time after which a token may be available, if none was granted.
		Wait time.Duration
	}
)
