package ratelimit

import (
	"time"
)

const (
	// ReportInterval is how often a proxy tells its pool what it needs.
	ReportInterval = 100 * time.Millisecond
	// grantTTL is how long a granted share lasts, counted by its holder from before it
	// asked. Two reports may be lost before it ends.
	grantTTL = 300 * time.Millisecond
	// minDepositLeft is the least time for which a deposit must last to back new grants.
	minDepositLeft = 200 * time.Millisecond
	// depositTTL is how long a proxy gives its own part away, counted by the pool from
	// before the proxy did.
	depositTTL = 500 * time.Millisecond
	// poolRampUp is how long after its parts have come in a pool needs to serve those who were
	// refused meanwhile.
	poolRampUp = 400 * time.Millisecond
	// clockDriftMargin is added by whoever gave a share away before it is used again, for clocks
	// that differ in rate.
	clockDriftMargin = 50 * time.Millisecond
)

type (
	// Report is what a proxy tells the pool of its region: the part of all limits that
	// it gives away for now, and the shares that it wants.
	Report struct {
		From string
		// Part is given away until some time after Echo, the pool's own clock as it was
		// told last; zero for none.
		Part Share
		Pool uint64
		Echo time.Duration
		// Applied is the last answer that was taken in.
		Applied uint64
		Wants   []AccountShare
		// Starter is the part of a process that has just started, told until it is answered;
		// Start tells the starts of the process apart.
		Starter Share
		Start   uint64
		// Withdraws is set if the proxy takes its part back, and has given up all that it
		// was granted.
		Withdraws bool
		// Lends is set if the proxy is a pool itself and asks for what is to spare.
		Lends bool
	}

	// AccountShare is a share that is wanted of an account's limit.
	AccountShare struct {
		Account string
		Share   Share
	}

	// Grants is a pool's answer. It replaces the one before.
	Grants struct {
		// Pool tells the starts of the pool's process apart, Clock is its time since then.
		Pool  uint64
		Clock time.Duration
		ID    uint64
		// Shares last For from before the report was made.
		Shares []AccountShare
		For    time.Duration
		// Withdrawn is set if the part is the proxy's own again.
		Withdrawn bool
	}

	// TokenReply is a pool's answer to a proxy that asks for one request.
	TokenReply struct {
		Granted bool
		// Wait is when there may be one, if not.
		Wait time.Duration
	}
)
