package capacity

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// A short urgent request waits for whatever is ahead of it. If the wait was reckoned with its own
// work, it would look short while long requests fill the queue.
func TestWaitUsesWorkOfAllRequests(t *testing.T) {
	var c Tracker
	for i := range 100 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		c.ObserveRequest(now, Request{Route: "long", Priority: 2, Work: 500 * time.Millisecond, Slack: time.Second})
		c.ObserveReport(now, "north", Report{Running: 3, Waiting: 3, Slots: 3})
		if i%10 == 0 {
			c.ObserveRequest(now, Request{Route: "urgent", Priority: 0, Work: 100 * time.Millisecond, Slack: 150 * time.Millisecond})
		}
	}
	l := c.Load(start.Add(time.Second), "north")
	if l.Wait < 400*time.Millisecond || l.Wait > 500*time.Millisecond {
		t.Errorf("Wait: got %v, want 400 to 500 ms, near the mean work of the requests", l.Wait)
	}
	if l.Utilization < 0.99 {
		t.Errorf("Utilization: got %v, want 1", l.Utilization)
	}
}

// Figures of servers that no longer report must not reject requests forever.
func TestLoadDecaysWithoutReports(t *testing.T) {
	var c Tracker
	c.ObserveRequest(start, Request{Route: "plain", Priority: 1, Work: time.Second, Slack: time.Second})
	for range 20 {
		c.ObserveReport(start, "north", Report{Running: 3, Waiting: 9, Slots: 3})
	}
	if got := c.Load(start.Add(2*reportTTL), "north"); got.Wait != 0 || got.Utilization != 0 {
		t.Errorf("load without reports: got %+v, want zero wait and utilization", got)
	}
}

// A handful of urgent requests must not reserve the capacity that all others use.
func TestUrgentSlackNeedsSignificantDemand(t *testing.T) {
	var c Tracker
	c.ObserveRequest(start, Request{Route: "urgent", Priority: 0, Work: time.Second, Slack: 100 * time.Millisecond})
	for range 100 {
		c.ObserveRequest(start, Request{Route: "long", Priority: 2, Work: time.Second, Slack: time.Second})
	}
	if got, found := c.UrgentSlack(2); found {
		t.Errorf("UrgentSlack with 1 urgent request of 101: got %v, want none", got)
	}
	c.ObserveRequest(start, Request{Route: "urgent", Priority: 0, Work: time.Second, Slack: 100 * time.Millisecond})
	c.ObserveRequest(start, Request{Route: "urgent", Priority: 0, Work: time.Second, Slack: 100 * time.Millisecond})
	if got, found := c.UrgentSlack(2); !found || got != 100*time.Millisecond {
		t.Errorf("UrgentSlack with 3 urgent requests of 103: got %v, %t, want 100ms, true", got, found)
	}
	if got, found := c.UrgentSlack(0); found {
		t.Errorf("UrgentSlack of the most urgent priority: got %v, want none", got)
	}
}
