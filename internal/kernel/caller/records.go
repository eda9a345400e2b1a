package caller

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// ClaimGranted means that the token may be dispatched now. Its record is marked as running.
	ClaimGranted ClaimStatus = iota + 1
	// ClaimResolved means that the token must not be dispatched and that the returned result
	// applies.
	ClaimResolved
)

const (
	stateRunning state = iota + 1
	stateDone
	stateUnknown
)

const (
	// maxTokenRecords bounds the records of a process. When it is reached, no token is minted.
	maxTokenRecords = 200_000
	// MaxRetainedBody is the largest response body, in bytes, that is retained for retries.
	MaxRetainedBody = 64 << 10
	// maxRetainedBytes bounds the total size of the retained bodies of a process.
	maxRetainedBytes = 6 << 20
	// inProgressRetryAfter is the Retry-After of a request that is still running.
	inProgressRetryAfter = 500 * time.Millisecond
)

var (
	// ErrTokenRunTwice means that an invariant is violated: a token was finished twice, so it was
	// dispatched twice.
	ErrTokenRunTwice = errors.New("token dispatched twice")
)

type (
	// ClaimStatus is the result of an attempt to claim a token for dispatch.
	ClaimStatus uint8

	state uint8

	// TokenRecord is the state of a token that was dispatched. It is exported only for the handover
	// at a graceful shutdown.
	TokenRecord struct {
		Nonce           Nonce
		State           uint8
		Response        *Response
		ResponseDropped bool
		Expiry          time.Time
	}

	// Handover is the state that a stopping minter transfers to a peer. A token without a record in
	// it was never dispatched and never will be, because the minter stops dispatching before it
	// exports its records.
	Handover struct {
		Minter    Minter
		Key       TokenKey
		Retention time.Duration
		Records   []TokenRecord
	}

	// TokenRecords decides which tokens of a minter may be dispatched and what result the others
	// get. Only the process that minted a token dispatches it, and only once. This alone prevents
	// duplicate execution, without coordination with any other process.
	TokenRecords struct {
		minter        Minter
		key           TokenKey
		closed        bool
		retention     time.Duration
		records       map[Nonce]*TokenRecord
		retainedBytes int
		imported      map[Minter]*TokenRecords
	}
)

// NewTokenRecords returns the empty records of a minter.
func NewTokenRecords(m Minter, key TokenKey) *TokenRecords {
	return &TokenRecords{
		minter:   m,
		key:      key,
		records:  make(map[Nonce]*TokenRecord),
		imported: make(map[Minter]*TokenRecords),
	}
}

// Mint creates and signs a token. It returns false if the records are full or closed.
func (r *TokenRecords) Mint(service string, nonce Nonce, now time.Time, lifetime, retention time.Duration) (*Token, bool) {
	if r.closed || len(r.records) >= maxTokenRecords {
		return nil, false
	}
	r.retention = max(r.retention, retention)
	t := &Token{Minter: r.minter, Service: service, Nonce: nonce, Expiry: now.Add(lifetime)}
	r.key.Sign(t)
	return t, true
}

// Owns reports whether this process decides about the token, either as its minter or as the
// successor of a minter that shut down gracefully.
func (r *TokenRecords) Owns(t *Token) bool {
	return t.Minter == r.minter || r.imported[t.Minter] != nil
}

// Claim claims a token for dispatch. It returns ClaimGranted at most once per token unless the
// token is released.
func (r *TokenRecords) Claim(t *Token, service string, now time.Time) (ClaimStatus, Result) {
	if t.Minter != r.minter {
		if imported := r.imported[t.Minter]; imported != nil {
			return imported.Claim(t, service, now)
		}
		return ClaimResolved, Result{Outcome: OutcomeUnknown, Reason: ReasonMinterGone}
	}
	if !r.key.Verify(t) || t.Service != service {
		// A token that is forged or for another service is never dispatched, so the request was
		// certainly not run.
		return ClaimResolved, Result{Outcome: OutcomeNotRun, Reason: ReasonTokenInvalid}
	}
	if record := r.records[t.Nonce]; record != nil {
		return ClaimResolved, record.result()
	}
	switch {
	case now.After(t.Expiry.Add(r.retention)):
		return ClaimResolved, Result{Outcome: OutcomeUnknown, Reason: ReasonTokenRecordExpired}
	case now.After(t.Expiry):
		return ClaimResolved, Result{Outcome: OutcomeNotRun, Reason: ReasonTokenExpired}
	case r.closed:
		return ClaimResolved, Result{Outcome: OutcomeNotRun, Reason: ReasonTokenClosed}
	}
	r.records[t.Nonce] = &TokenRecord{Nonce: t.Nonce, State: uint8(stateRunning), Expiry: t.Expiry}
	return ClaimGranted, Result{}
}

func (r *TokenRecord) result() Result {
	switch state(r.State) {
	case stateDone:
		if r.ResponseDropped {
			return Result{Outcome: OutcomeDone, Reason: ReasonResponseNotRetained}
		}
		return Result{Outcome: OutcomeDone, Response: r.Response}
	case stateUnknown:
		return Result{Outcome: OutcomeUnknown, Reason: ReasonConnectionLost}
	}
	return Result{Outcome: OutcomeUnknown, Reason: ReasonInProgress, RetryAfter: inProgressRetryAfter}
}

// Release returns a running token after an attempt that was certainly not run, so that it can be
// claimed again.
func (r *TokenRecords) Release(n Nonce) {
	if record := r.records[n]; record != nil && state(record.State) == stateRunning {
		delete(r.records, n)
	}
}

// Finish records the final outcome of a dispatched token. A complete response that arrives after
// the outcome was recorded as unknown replaces it.
func (r *TokenRecords) Finish(n Nonce, result Result) error {
	record := r.records[n]
	if record == nil {
		return nil
	}
	if state(record.State) == stateDone {
		return ErrTokenRunTwice
	}
	if result.Outcome != OutcomeDone || result.Response == nil {
		record.State = uint8(stateUnknown)
		return nil
	}
	record.State = uint8(stateDone)
	size := len(result.Response.Body)
	if result.Response.Streamed || size > MaxRetainedBody || r.retainedBytes+size > maxRetainedBytes {
		record.ResponseDropped = true
		return nil
	}
	record.Response = result.Response
	r.retainedBytes += size
	return nil
}

// Expire deletes records whose retention has ended.
func (r *TokenRecords) Expire(now time.Time) {
	for n, record := range r.records {
		if state(record.State) == stateRunning || !now.After(record.Expiry.Add(r.retention)) {
			continue
		}
		if record.Response != nil {
			r.retainedBytes -= len(record.Response.Body)
		}
		delete(r.records, n)
	}
	for _, imported := range r.imported {
		imported.Expire(now)
	}
}

// Running returns the number of dispatched tokens that have not finished.
func (r *TokenRecords) Running() int {
	running := 0
	for _, record := range r.records {
		if state(record.State) == stateRunning {
			running++
		}
	}
	return running
}

// Len returns the number of records, including imported ones.
func (r *TokenRecords) Len() int {
	total := len(r.records)
	for _, imported := range r.imported {
		total += imported.Len()
	}
	return total
}

// Close permanently stops dispatching. Tokens that have not been claimed will not be run.
func (r *TokenRecords) Close() { r.closed = true }

// Export returns the state that a peer needs to take over from this minter and from the minters
// whose records it imported. It must be called after Close and after all running requests have
// ended. A request that is still running is exported as unknown, because its outcome is then not
// known.
func (r *TokenRecords) Export() []Handover {
	own := Handover{Minter: r.minter, Key: r.key, Retention: r.retention}
	for _, record := range r.records {
		exported := *record
		if state(exported.State) == stateRunning {
			exported.State = uint8(stateUnknown)
		}
		own.Records = append(own.Records, exported)
	}
	all := []Handover{own}
	for _, imported := range r.imported {
		all = append(all, imported.Export()...)
	}
	return all
}

// Import takes over the records of a stopped minter. A repeated handover of the same minter is
// ignored.
func (r *TokenRecords) Import(h Handover) {
	if h.Minter == r.minter || r.imported[h.Minter] != nil {
		return
	}
	imported := NewTokenRecords(h.Minter, h.Key)
	imported.closed = true
	imported.retention = h.Retention
	for i := range h.Records {
		record := h.Records[i]
		imported.records[record.Nonce] = &record
	}
	r.imported[h.Minter] = imported
}
