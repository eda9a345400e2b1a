package steering

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	shareAccounts   = 72
	shareSlots      = 8
	shareWork       = 100 * time.Millisecond
	shareTarget     = 600 * time.Millisecond
	shareContention = 1.3
	// excessFactor is the demand of the first account as a multiple of its usual demand.
	excessFactor = 7.5
)

type (
	// shareRun is the load of many accounts on one server with a FIFO queue.
	shareRun struct {
		factor   float64
		accounts bool
		config   Config
	}

	// shareResult holds the requests and those within the target by account, and the decisions.
	shareResult struct {
		sent, within [shareAccounts]float64
		rejected     []bool
	}

	// runningRequest is a request that the server ends at the given time.
	runningRequest struct {
		*ActiveRequest
		account    int
		start, end time.Time
	}
)

// simulate plays a minute of requests through a kernel. With the excess of the first account, the
// service gets 1.3 times what it can handle.
func (r shareRun) simulate(t *testing.T) (result shareResult) {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	end := now.Add(time.Minute)
	r.config.Name, r.config.Domain, r.config.Region, r.config.RegionOf = "p", "north-a", "north", regionOf
	k := New(r.config)
	var list []*account.Account
	for i := range shareAccounts {
		list = append(list, &account.Account{Name: fmt.Sprint(i), Keys: []account.Key{accountKey(t, fmt.Sprintf("the-key-of-account-%d", i))}})
	}
	table := routing.NewTable(1, []*routing.Route{{
		Name: "route", Host: "host", Prefix: "/", Idempotent: true, Attempts: 1, Timeout: 5 * time.Second, Target: shareTarget,
		Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
	}}, nil, routing.Limits{})
	if r.accounts {
		accounts, err := account.NewTable(list)
		if err != nil {
			t.Fatal(err)
		}
		table = table.WithAccounts(accounts)
	}
	k.SetTable(table)
	k.RegisterServer(now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: shareSlots})
	capacity := shareSlots / shareWork.Seconds()
	units := shareAccounts - 1 + r.factor
	perSecond := capacity * shareContention * units / (shareAccounts - 1 + excessFactor)
	random := rand.New(rand.NewPCG(1, 2))
	var queue []runningRequest
	for n := 0; now.Before(end); n++ {
		now = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		for len(queue) > 0 && !queue[0].end.After(now) {
			q := queue[0]
			queue = queue[1:]
			if q.end.Sub(q.start) <= shareTarget {
				result.within[q.account]++
			}
			k.EndAttempt(q.end, q.ActiveRequest, Attempt{Result: ResultResponded, Loaded: true, Running: min(len(queue), shareSlots), Waiting: max(0, len(queue)-shareSlots)})
		}
		i := 0
		if random.Float64()*units >= r.factor {
			i = 1 + random.IntN(shareAccounts-1)
		}
		result.sent[i]++
		path := fmt.Sprint("/", n)
		request := Request{ID: fmt.Sprint(n), Host: "host", Path: path, Work: quarantine.NewFingerprint("GET", "host", path, list[i].Name, nil)}
		if r.accounts {
			request.Credential = account.Credential{State: account.CredentialPresent, Key: list[i].Keys[0]}
		}
		req, d := k.BeginRequest(now, request)
		result.rejected = append(result.rejected, d.Server == nil)
		if d.Server == nil {
			continue
		}
		begin := now
		if len(queue) >= shareSlots {
			begin = queue[len(queue)-shareSlots].end
		}
		queue = append(queue, runningRequest{ActiveRequest: req, account: i, start: now, end: begin.Add(shareWork)})
	}
	return result
}

// others returns the share within the target of all accounts but the first.
func (r shareResult) others() float64 {
	sent, within := 0.0, 0.0
	for i := 1; i < shareAccounts; i++ {
		sent, within = sent+r.sent[i], within+r.within[i]
	}
	return within / sent
}

// One account of 72 sends 7.5 times as much as usual, so that the service gets 1.3 times what it can
// handle. Guards against the others losing requests to it.
func TestExcessOfOneAccountCostsTheOthersNothing(t *testing.T) {
	var blamed, spared Event
	observe := func(e Event) {
		switch {
		case e.Reason != ReasonQueuesTooLong:
		case e.Account == "0":
			blamed = e
		default:
			spared = e
		}
	}
	usual := shareRun{factor: 1, accounts: true}.simulate(t).others()
	result := shareRun{factor: excessFactor, accounts: true, config: Config{Observe: observe}}.simulate(t)
	unfair := shareRun{factor: excessFactor, accounts: true, config: Config{Off: []Mechanism{MechanismFairShares}}}.simulate(t).others()
	got := result.others()
	t.Logf("the others get %.3f in time, %.3f without the excess, %.3f without fair shares; the account with the excess gets %.3f", got, usual, unfair, result.within[0]/result.sent[0])
	if got < usual-0.02 {
		t.Errorf("the others get %.3f in time, want at most 0.02 less than the %.3f without the excess", got, usual)
	}
	sum, squares := 0.0, 0.0
	for _, n := range result.within {
		sum, squares = sum+n, squares+n*n
	}
	if jain := sum * sum / (shareAccounts * squares); jain < 0.95 {
		t.Errorf("Jain's index of the responses in time is %.3f, want at least 0.95", jain)
	}
	if unfair >= usual-0.02 {
		t.Errorf("the others get %.3f in time without fair shares and %.3f without the excess, so the load shows nothing", unfair, usual)
	}
	if blamed.AccountShedRatio <= blamed.ShedRatio || blamed.ShedRatio <= 0 {
		t.Errorf("the account with the excess is rejected with the ratio %.2f while that of all requests is %.2f, want more", blamed.AccountShedRatio, blamed.ShedRatio)
	}
	if spared.AccountShedRatio >= blamed.AccountShedRatio {
		t.Errorf("another account is rejected with the ratio %.2f, the one with the excess with %.2f, want less", spared.AccountShedRatio, blamed.AccountShedRatio)
	}
}

// Guards against changed decisions where no accounts are configured, for example by a random number
// that is drawn once more.
func TestFairSharesDoNothingWithoutAccounts(t *testing.T) {
	on := shareRun{factor: excessFactor}.simulate(t).rejected
	off := shareRun{factor: excessFactor, config: Config{Off: []Mechanism{MechanismFairShares}}}.simulate(t).rejected
	if !slices.Contains(on, true) || !slices.Equal(on, off) {
		t.Error("decisions without accounts depend on the mechanism, or nothing is rejected")
	}
}

// Guards against shares that a replay computes differently from the recorded kernel.
func TestReplayRepeatsFairShares(t *testing.T) {
	var recording bytes.Buffer
	encoder := json.NewEncoder(&recording)
	shareRun{factor: excessFactor, accounts: true, config: Config{Record: func(c Call) { _ = encoder.Encode(c) }}}.simulate(t)
	got, err := ReplayCalls(&recording, "")
	if err != nil || got.Decisions == 0 || got.DifferenceCount > 0 {
		t.Errorf("got %d decisions, %d of them different, error %v, want none different", got.Decisions, got.DifferenceCount, err)
	}
}

// Callers repeat rejected requests. Guards against rejections that the kernel does not record: the
// account would seem to ask for twice as much.
func TestRepetitionOfRejectedRequestsIsNoDemand(t *testing.T) {
	const n = 64
	k, start := kernelWithAccount(t, account.Account{}, Config{})
	k.RemoveServer(start, "s")
	now := start
	for range 2 {
		for i := range n {
			work := quarantine.NewFingerprint("GET", "host", fmt.Sprint("/", i), "anna", nil)
			request := Request{Host: "host", Path: "/", Work: work, Credential: account.Credential{State: account.CredentialPresent, Key: accountKey(t, testAccountKey)}}
			if _, d := k.BeginRequest(now, request); d.Reason != ReasonNoServer || d.RetryAfter <= 0 {
				t.Fatalf("got %+v, want a rejection with a retry delay", d)
			}
		}
		now = start.Add(maxRetryAfter)
	}
	svc, route := k.service("service"), k.table.Routes["route"]
	tracker := svc.shares.forPriority(route.Priority)
	// The requests, spread over the two seconds, are four times the capacity.
	capacity := n * svc.workOf(route).typical(route).Seconds() / maxRetryAfter.Seconds() / 4
	if got := tracker.Excess(now, "anna", capacity); got < 0.6 || got > 0.8 {
		t.Errorf("the account exceeds its share by %.2f, want about 0.7, the excess without the repetitions", got)
	}
}
