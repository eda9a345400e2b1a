package steering

const (
	// ProofNone means that nothing proves that an attempt has not run.
	ProofNone Proof = ""
	// ProofUnsent means that no byte of the request has left this proxy.
	ProofUnsent Proof = "unsent"
	// ProofRejected means that the server reported that it did not run the request.
	ProofRejected Proof = "rejected"
	// ProofWrongServer means that another server, which has the address now, reported that it is not
	// the intended one.
	ProofWrongServer Proof = "wrong-server"
	// ProofPeer means that the proxy that the request was handed over to reported that no server
	// has run it.
	ProofPeer Proof = "peer"
)

type (
	// Proof is the evidence that an attempt has not run and never will.
	Proof string
)

// mayHaveRun reports whether a server may have started to run the request, or may still do so.
func (req *ActiveRequest) mayHaveRun() bool { return req.unproven > 0 }

// recordProof records how an attempt or a handover ended.
func (req *ActiveRequest) recordProof(p Proof) {
	if p != ProofNone {
		req.unproven--
	}
}

// proof returns what the result of an attempt proves. Results that are not listed prove nothing.
func (r Result) proof() Proof {
	switch r {
	case ResultUnreachable, ResultNotSent:
		return ProofUnsent
	case ResultRejected:
		return ProofRejected
	case ResultWrongServer:
		return ProofWrongServer
	}
	return ProofNone
}

// proof returns what the end of an attempt proves.
func (a Attempt) proof() Proof {
	if a.Result == ResultInterrupted && a.Unsent {
		return ProofUnsent
	}
	return a.Result.proof()
}

// proof returns what the end of a handover proves.
func (r HandoverResult) proof() Proof {
	switch {
	case r.Result == ResultUnreachable:
		return ProofUnsent
	case r.Result == ResultResponded && r.Server == "" && r.NotRun:
		return ProofPeer
	}
	return ProofNone
}

// lastProof returns the proof of the last attempt or handover of a request that has not run.
func (req *ActiveRequest) lastProof() Proof {
	for i := len(req.steps) - 1; i >= 0; i-- {
		if step := req.steps[i]; step.Kind == EventAttemptEnded || step.Kind == EventHandoverEnded {
			return step.Proof
		}
	}
	return ProofUnsent
}
