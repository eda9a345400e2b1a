package caller

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// ClaimGranted means that the token may be dispatched now; its record says
	// running from here on.
	ClaimGranted ClaimStatus = iota + 1
	// ClaimResolved means that the result is final and needs no dispatch.
	ClaimResolved
)

const (
	stateRunning state = iota + 1
	stateDone
	stateUnknown
)

const (
	// maxTokenRecords bounds a process's records; minting is refused beyond.
	maxTokenRecords = 200_000
	// MaxRetainedBody is the largest answer body, in bytes, kept for a repeat.
	MaxRetainedBody = 64 << 10
	// maxRetainedBytes bounds all kept bodies of a process, in bytes.
	maxRetainedBytes = 6 << 20
	// inProgressRetryAfter is when to ask again for a running request.
	inProgressRetryAfter = 500 * time.Millisecond
)

var (
	// ErrTokenRunTwice is the broken invariant that a token was finished twice.
	ErrTokenRunTwice = errors.New("invariant: token dispatched twice")
)

type (
	// ClaimStatus says what an attempt to use a token leads to.
	ClaimStatus uint8

	state uint8

	// TokenRecord is the fate of one token. It is exported for the hand-over at a
	// planned stop only.
	TokenRecord struct {
		Nonce           Nonce
		State           uint8
		Response        *Response
		ResponseDropped bool
		Expiry          time.Time
	}

	// Handover is everything a stopping minter leaves to a peer. Its absence
	// of a record means that the token was never dispatched and never will
	// be, for the minter stops dispatching before it exports.
	Handover struct {
		Minter    Minter
		Key       TokenKey
		Retention time.Duration
		Records   []TokenRecord
	}

	// TokenRecords decides over the tokens of one minter: which may be dispatched
	// and what the others are told. Only the process that minted a token ever
	// dispatches it, and it does so once: that is the whole guard against a
	// doubled request, and it needs no agreement with any other process.
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

// NewTokenRecords starts a minter's empty books.
func NewTokenRecords(m Minter, key TokenKey) *TokenRecords {
	return &TokenRecords{
		minter:   m,
		key:      key,
		records:  make(map[Nonce]*TokenRecord),
		imported: make(map[Minter]*TokenRecords),
	}
}

// Mint makes a token. It reports false when the books are full or closed.
func (r *TokenRecords) Mint(service string, nonce Nonce, now time.Time, lifetime, retention time.Duration) (*Token, bool) {
	if r.closed || len(r.records) >= maxTokenRecords {
		return nil, false
	}
	r.retention = max(r.retention, retention)
	t := &Token{Minter: r.minter, Service: service, Nonce: nonce, Expiry: now.Add(lifetime)}
	r.key.Sign(t)
	return t, true
}

// Owns reports whether this process decides over the token, as its minter or
// as the heir of a minter that stopped as planned.
func (r *TokenRecords) Owns(t *Token) bool {
	return t.Minter == r.minter || r.imported[t.Minter] != nil
}

// Claim claims a token for dispatch. Fresh is returned at most once per token
// unless Release gives it back.
func (r *TokenRecords) Claim(t *Token, service string, now time.Time) (ClaimStatus, Result) {
	if t.Minter != r.minter {
		if imported := r.imported[t.Minter]; imported != nil {
			return imported.Claim(t, service, now)
		}
		return ClaimResolved, Result{Outcome: OutcomeUnknown, Reason: ReasonMinterGone}
	}
	if !r.key.Verify(t) || t.Service != service {
		// Nothing is dispatched under a forged or foreign token, so this
		// request was truly not run.
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

// Release gives a running token back after an attempt that was truly not run.
func (r *TokenRecords) Release(n Nonce) {
	if record := r.records[n]; record != nil && state(record.State) == stateRunning {
		delete(r.records, n)
	}
}

// Finish keeps the final outcome of a dispatched token. A done answer that
// arrives after the request was called unknown replaces it.
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

// Expire forgets records whose retention has run out.
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

// Running counts the tokens whose dispatch has not ended.
func (r *TokenRecords) Running() int {
	running := 0
	for _, record := range r.records {
		if state(record.State) == stateRunning {
			running++
		}
	}
	return running
}

// Len counts the records kept, inherited ones included.
func (r *TokenRecords) Len() int {
	total := len(r.records)
	for _, imported := range r.imported {
		total += imported.Len()
	}
	return total
}

// Close ends dispatching for good: tokens not used by now are not run.
func (r *TokenRecords) Close() { r.closed = true }

// Export lists what a peer needs to answer for this minter and for those it
// inherited from. It must follow Close and the end of all running requests;
// what still runs is exported as unknown, which it then is.
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

// Import takes over a stopped minter's records. A second copy of the same
// hand-over is harmless: the first stays.
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
