package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/admission"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// chargedRetries returns the retries that the budget of the service counts. Credit is added so that no
// shorter time is closer to being exhausted.
func chargedRetries(k *Kernel, now time.Time) int {
	budget := k.service("service").retries
	for range 1000 {
		budget.RecordRequest(now)
	}
	return budget.Usage(now).Retries
}

// Guards against retries that wait for a slot and arrive long after they were charged: the credit that
// paid for them may be that of an earlier window by then.
func TestRetryThatWaitedForASlotIsChargedAgain(t *testing.T) {
	for _, c := range []struct {
		wait      time.Duration
		hasCredit bool
		sent      bool
	}{
		{wait: 100 * time.Millisecond, sent: true}, {wait: 900 * time.Millisecond}, {wait: 900 * time.Millisecond, hasCredit: true, sent: true},
	} {
		now := time.Unix(1_000_000, 0)
		k := limitedFleet(now)[0]
		k.RegisterServer(now, routing.Server{ID: "t", Service: "service", Domain: "north-a", Slots: 3})
		req, first := beginWithSlotRequest(t, k, now, "r", "/a/x")
		k.HandleSlotReply(now, req, SlotReply{Grant: admission.Grant{Ticket: first.Ticket, Verdict: admission.Granted, Rank: 1}}, true)
		d := k.EndAttempt(now, req, Attempt{Result: ResultRejected})
		if d.SlotRequest == nil {
			t.Fatalf("got %+v after a rejection, want a slot request at another server", recordedDecisionOf(d))
		}
		if !c.hasCredit {
			k.service("service").retries.ForgetCredit()
		}
		d = k.HandleSlotReply(now.Add(c.wait), req, SlotReply{Grant: admission.Grant{Ticket: d.SlotRequest.Ticket, Verdict: admission.Granted, Rank: 1}}, true)
		if (d.Server != nil) != c.sent || !c.sent && (!d.NotRun || d.SlotRelease == nil) {
			t.Errorf("waited %s, credit %t: got %+v, slot release %v, want it sent: %t", c.wait, c.hasCredit, recordedDecisionOf(d), d.SlotRelease, c.sent)
		}
		if charged := chargedRetries(k, now.Add(c.wait)); charged > 1 || (charged == 1) != c.sent {
			t.Errorf("waited %s, credit %t: %d retries are charged, sent: %t", c.wait, c.hasCredit, charged, c.sent)
		}
	}
}

// Guards against a budget that is used up by retries for which there is no server.
func TestRetryThatIsNotSentIsNotCharged(t *testing.T) {
	r := newHandoverRun()
	for _, id := range []string{"s1", "s2", "s3"} {
		r.RemoveServer(r.now, id)
	}
	req, d := r.begin(readPath)
	if d.Server == nil {
		t.Fatalf("got %+v, want a server", recordedDecisionOf(d))
	}
	if d = r.EndAttempt(r.now, req, Attempt{Result: ResultServerError}); d.Server != nil {
		t.Fatalf("got a retry at %s, want none: there is no other server", d.Server.ID)
	}
	if usage := r.service("service").retries.Usage(r.now); usage.Retries != 0 {
		t.Errorf("%d retries are charged, want 0", usage.Retries)
	}
}

// Guards against retries for credit whose age is not known, because the VM was suspended.
func TestResumedProcessHasNoRetryCredit(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		r := newHandoverRun()
		req, d := r.begin(readPath)
		if d.Server == nil {
			t.Fatalf("got %+v, want a server", recordedDecisionOf(d))
		}
		if suspended {
			r.HandleResume(r.now)
		}
		if d = r.EndAttempt(r.now, req, Attempt{Result: ResultServerError}); (d.Server != nil) == suspended {
			t.Errorf("suspended %t: got %+v, want a retry: %t", suspended, recordedDecisionOf(d), !suspended)
		}
	}
}

// Guards against a budget that is used up by retries that wait for a slot and are denied it.
func TestRetryThatIsDeniedASlotIsNotCharged(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	k := limitedFleet(now)[0]
	k.RegisterServer(now, routing.Server{ID: "t", Service: "service", Domain: "north-a", Slots: 3})
	req, first := beginWithSlotRequest(t, k, now, "r", "/a/x")
	k.HandleSlotReply(now, req, SlotReply{Grant: admission.Grant{Ticket: first.Ticket, Verdict: admission.Granted, Rank: 1}}, true)
	d := k.EndAttempt(now, req, Attempt{Result: ResultRejected})
	if d.SlotRequest == nil {
		t.Fatalf("got %+v after a rejection, want a slot request at another server", recordedDecisionOf(d))
	}
	now = now.Add(100 * time.Millisecond)
	k.HandleSlotReply(now, req, SlotReply{Grant: admission.Grant{Ticket: d.SlotRequest.Ticket, Verdict: admission.Denied}}, true)
	if charged := chargedRetries(k, now); charged != 0 {
		t.Errorf("%d retries are charged, want 0", charged)
	}
}

// Guards against a crash of the process and against denied retries when the service of a handed-over
// request is not known: a route may have no services, and one without weight gets no requests.
func TestBrokenHandoverIsChargedToServicesWithWeight(t *testing.T) {
	for _, c := range []struct {
		parts   []routing.WeightedService
		retried bool
	}{
		{parts: nil},
		{parts: []routing.WeightedService{{Service: "service", Weight: 1}, {Service: "unused"}}, retried: true},
	} {
		r := newHandoverRun(handoverPeers()...)
		r.cutOff(t)
		r.table.Routes[readPath].Parts = c.parts
		req, d := r.begin(readPath)
		expectHandover(t, d, "near")
		if d = r.EndHandover(r.now, req, HandoverResult{Result: ResultConnectionLost}); (d.Handover != nil) != c.retried {
			t.Errorf("services %+v: got %+v, want another peer: %t", c.parts, recordedDecisionOf(d), c.retried)
		}
	}
}
