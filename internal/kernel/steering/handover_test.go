package steering

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/directory"
	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

const (
	writePath = "/write/x"
	readPath  = "/read/x"
	northPath = "/north/x"
)

var handoverStart = time.Unix(1_000_000, 0)

// handoverRun is a proxy in the region north with two servers in each of two regions.
type handoverRun struct {
	*Kernel
	now    time.Time
	events []Event
}

// handoverPeers are one other proxy of the region and one of another region.
func handoverPeers() []Proxy {
	return []Proxy{
		{Name: "near", Domain: "north-b", Region: "north", Handovers: netip.MustParseAddrPort("10.0.0.1:1")},
		{Name: "far", Domain: "south-a", Region: "south", Handovers: netip.MustParseAddrPort("10.0.0.2:1")},
		{Name: "old", Domain: "north-b", Region: "north"},
	}
}

func newHandoverRun(peers ...Proxy) *handoverRun {
	r := &handoverRun{now: handoverStart}
	r.Kernel = New(Config{
		Name: "self", Domain: "north-a", Region: "north", RegionOf: map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"},
		Bounds:  Bounds{Retry: ampleRetries},
		Observe: func(e Event) { r.events = append(r.events, e) },
	})
	var routes []*routing.Route
	for path, change := range map[string]func(*routing.Route){
		writePath: func(*routing.Route) {},
		readPath:  func(r *routing.Route) { r.Idempotent = true },
		northPath: func(r *routing.Route) { r.Idempotent, r.Regions = true, []string{"north"} },
	} {
		route := &routing.Route{
			Name: path, Host: "host", Prefix: path[:len(path)-1], Timeout: 5 * time.Second, Target: 300 * time.Millisecond, Attempts: 2,
			Parts: []routing.WeightedService{{Service: "service", Weight: 1}},
		}
		change(route)
		routes = append(routes, route)
	}
	r.SetTable(routing.NewTable(1, routes, nil, routing.Limits{}))
	for i, domain := range []string{"north-a", "north-b", "south-a", "south-a"} {
		r.RegisterServer(r.now, routing.Server{ID: fmt.Sprintf("s%d", i), Service: "service", Domain: domain, Slots: 4})
	}
	r.SetProxies(r.now, peers)
	return r
}

// cutOff lets requests and probes fail until the proxy considers itself cut off.
func (r *handoverRun) cutOff(t *testing.T) {
	t.Helper()
	for range 20 {
		r.now = r.now.Add(50 * time.Millisecond)
		req, d := r.begin(readPath)
		for d.Server != nil {
			d = r.EndAttempt(r.now, req, Attempt{Result: ResultUnreachable})
		}
		if d.Handover != nil {
			r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Server: "s0"})
		}
		if list, due := r.ServersToReach(r.now); due {
			r.RecordReachability(r.now, 0, len(list))
		}
	}
	if !r.CutOff() {
		t.Fatal("got a connected proxy after 20 failed requests, want one that is cut off")
	}
}

func (r *handoverRun) begin(path string) (*ActiveRequest, Decision) {
	return r.BeginRequest(r.now, Request{ID: "r", Host: "host", Path: path, Deadline: r.now.Add(5 * time.Second)})
}

func expectHandover(t *testing.T, d Decision, want string) {
	t.Helper()
	if got := recordedDecisionOf(d).Handover; got != want || d.Server != nil {
		t.Errorf("got %+v, want a handover to %q", recordedDecisionOf(d), want)
	}
}

// Requests at a proxy without connections to servers were refused until the links were back.
func TestRequestsAreHandedOverWhileCutOff(t *testing.T) {
	r := newHandoverRun(handoverPeers()...)
	r.cutOff(t)
	for _, path := range []string{writePath, readPath, northPath} {
		req, d := r.begin(path)
		expectHandover(t, d, "near")
		if d = r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Server: "s1"}); !d.ReturnResponse {
			t.Errorf("%s: got %+v, want the response returned", path, recordedDecisionOf(d))
		}
	}
}

func TestPeerThatIsCutOffTooIsSkipped(t *testing.T) {
	r := newHandoverRun(handoverPeers()...)
	r.cutOff(t)
	req, d := r.begin(writePath)
	expectHandover(t, d, "near")
	d = r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Reason: ReasonCutOff, NotRun: true})
	expectHandover(t, d, "far")
	d = r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Reason: ReasonCutOff, NotRun: true})
	if d.Handover != nil || !d.NotRun || d.ReturnResponse || d.RetryAfter <= 0 {
		t.Errorf("got %+v after two peers, want a rejection by this proxy", recordedDecisionOf(d))
	}
	if _, d = r.begin(writePath); d.Handover != nil || d.Reason != ReasonCutOff {
		t.Errorf("got %+v, want an immediate rejection while no peer can help", recordedDecisionOf(d))
	}
}

// Guards against a rejection by a peer that shuts down which is passed on although other peers accept the request.
func TestPeerThatShutsDownIsSkipped(t *testing.T) {
	r := newHandoverRun(handoverPeers()...)
	r.cutOff(t)
	req, d := r.begin(writePath)
	expectHandover(t, d, "near")
	d = r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Reason: ReasonShutdown, NotRun: true, ClaimsNotRun: true})
	expectHandover(t, d, "far")
}

// Guards against a proxy that never finds out that it is cut off from all servers, since its callers send one request at
// a time and none is in progress when the next one times out.
func TestCutIsSuspectedWithOneRequestAtATime(t *testing.T) {
	r := newHandoverRun(handoverPeers()...)
	for range 8 {
		req, d := r.begin(readPath)
		for range 20 {
			r.now = r.now.Add(100 * time.Millisecond)
			if _, due := r.ServersToReach(r.now); due {
				return
			}
		}
		if d.Server != nil {
			r.EndAttempt(r.now, req, Attempt{Result: ResultTimeout})
		}
	}
	t.Error("8 requests got no response within 2 s each, one after the other, and the servers are not probed")
}

// Guards against a request that the shutdown of a peer has interrupted and that fails although it may be sent again,
// and against one that is sent again although it must not be.
func TestRequestInterruptedByPeerIsSentAgain(t *testing.T) {
	interrupted := HandoverResult{Result: ResultResponded, Reason: ReasonShutdown, ServersReached: 1}
	for path, mayRepeat := range map[string]bool{readPath: true, writePath: false} {
		r := newHandoverRun(handoverPeers()...)
		r.cutOff(t)
		req, d := r.begin(path)
		expectHandover(t, d, "near")
		d = r.EndHandover(r.now, req, interrupted)
		if !mayRepeat {
			if d.Handover != nil || d.NotRun || d.Reason != ReasonShutdown {
				t.Errorf("%s: got %+v, want it ended by the shutdown, without a promise", path, recordedDecisionOf(d))
			}
			continue
		}
		expectHandover(t, d, "far")
		if d.Handover.AttemptsUsed != 1 {
			t.Errorf("%s: %d attempts used, want that of the peer counted", path, d.Handover.AttemptsUsed)
		}
		if d = r.EndHandover(r.now, req, interrupted); d.Handover != nil {
			t.Errorf("%s: got %+v, want no more than two attempts", path, recordedDecisionOf(d))
		}
	}
}

// Guards against a request that runs more often than its route allows: a peer repeats it, ends, and its attempts count
// as a single one.
func TestLostHandoverLeavesKnownNumberOfAttempts(t *testing.T) {
	for _, c := range []struct {
		peers     []Proxy
		handovers int
	}{{handoverPeers(), maxHandovers}, {handoverPeers()[:1], 1}} {
		r := newHandoverRun(c.peers...)
		r.cutOff(t)
		req, d := r.begin(readPath)
		allowed, handovers := 0, 0
		for d.Handover != nil {
			handovers++
			allowed += req.Route.Attempts - d.Handover.AttemptsUsed
			d = r.EndHandover(r.now, req, HandoverResult{Result: ResultConnectionLost})
		}
		if allowed != req.Route.Attempts || handovers != c.handovers {
			t.Errorf("peers may have made %d attempts in %d handovers, want %d in %d", allowed, handovers, req.Route.Attempts, c.handovers)
		}
	}
}

// Guards against a peer that keeps an attempt for the next one, whose failed attempt ends the request.
func TestFailedAttemptOfPeerIsRepeatedAtNextPeer(t *testing.T) {
	for _, result := range []HandoverResult{
		{Result: ResultResponded, Server: "s0", ServerFailed: true},
		{Result: ResultResponded, Reason: ReasonRejected, NotRun: true, ServersReached: 1},
		{Result: ResultResponded, Reason: ReasonConnectionLost, ServersReached: 1},
	} {
		for path, mayRepeat := range map[string]bool{readPath: true, writePath: result.NotRun} {
			r := newHandoverRun(handoverPeers()...)
			r.cutOff(t)
			req, d := r.begin(path)
			expectHandover(t, d, "near")
			d = r.EndHandover(r.now, req, result)
			if (d.Handover != nil) != mayRepeat {
				t.Errorf("%s after %+v: got %+v, want another handover %t", path, result, recordedDecisionOf(d), mayRepeat)
			}
			if d.Handover == nil {
				continue
			}
			if d = r.EndHandover(r.now, req, result); d.Handover != nil || !d.ReturnResponse {
				t.Errorf("%s after two of %+v: got %+v, want the response", path, result, recordedDecisionOf(d))
			}
		}
	}
}

// A peer that takes itself for cut off may still reach some servers, and is better than none.
func TestPeerThatIsCutOffIsTheLastChoice(t *testing.T) {
	peers := handoverPeers()
	peers[0].CutOff = true
	r := newHandoverRun(peers...)
	r.cutOff(t)
	_, d := r.begin(writePath)
	expectHandover(t, d, "far")
	_, d = r.begin(northPath)
	expectHandover(t, d, "near")
}

// A body must not be sent to a region in which the request may not run.
func TestRequestsStayInTheirRegionsWhenHandedOver(t *testing.T) {
	r := newHandoverRun(handoverPeers()[1])
	r.cutOff(t)
	_, d := r.begin(readPath)
	expectHandover(t, d, "far")
	if _, d = r.begin(northPath); d.Handover != nil || !d.NotRun {
		t.Errorf("got %+v for a request bound to north, want a rejection", recordedDecisionOf(d))
	}
}

// Two proxies without servers must not pass a request back and forth.
func TestRequestIsHandedOverOnce(t *testing.T) {
	r := newHandoverRun(handoverPeers()...)
	r.cutOff(t)
	_, d := r.BeginRequest(r.now, Request{ID: "r", Host: "host", Path: readPath, IsHandover: true, HandoverFrom: "near"})
	if d.Handover != nil || d.Reason != ReasonCutOff || !d.NotRun {
		t.Errorf("got %+v, want a rejection", recordedDecisionOf(d))
	}
}

// A request that may run once at most must not run at a peer after its connection was lost here.
func TestRequestThatMayHaveRunIsNotHandedOver(t *testing.T) {
	r := newHandoverRun(handoverPeers()...)
	req, d := r.begin(writePath)
	if d.Server == nil {
		t.Fatalf("got %+v, want a server", recordedDecisionOf(d))
	}
	r.cutOff(t)
	d = r.EndAttempt(r.now, req, Attempt{Result: ResultConnectionLost})
	if d.Handover != nil || d.NotRun || d.ReturnResponse {
		t.Errorf("got %+v, want an end without a response", recordedDecisionOf(d))
	}
	req, d = r.begin(writePath)
	expectHandover(t, d, "near")
	if d = r.EndHandover(r.now, req, HandoverResult{Result: ResultConnectionLost}); d.Handover != nil || d.NotRun {
		t.Errorf("got %+v after a lost handover, want an end without a response", recordedDecisionOf(d))
	}
}

// A peer that refuses does not know of an earlier attempt, which may have run.
func TestRefusalByPeerIsNotPassedOnAfterALostAttempt(t *testing.T) {
	r := newHandoverRun(handoverPeers()...)
	req, d := r.begin(readPath)
	if d.Server == nil {
		t.Fatalf("got %+v, want a server", recordedDecisionOf(d))
	}
	r.cutOff(t)
	d = r.EndAttempt(r.now, req, Attempt{Result: ResultConnectionLost})
	expectHandover(t, d, "near")
	if d.Handover.AttemptsUsed != 1 {
		t.Errorf("got %d attempts used, want 1", d.Handover.AttemptsUsed)
	}
	d = r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Reason: ReasonOverload, NotRun: true})
	if d.NotRun || d.ReturnResponse {
		t.Errorf("got %+v, want an end that does not claim that nothing has run", recordedDecisionOf(d))
	}
}

// The attempts at both proxies together are limited.
func TestAttemptsBeforeHandoverCount(t *testing.T) {
	r := newHandoverRun()
	req, d := r.BeginRequest(r.now, Request{ID: "r", Host: "host", Path: readPath, IsHandover: true, HandoverFrom: "near", AttemptsUsed: 1})
	if d.Server == nil {
		t.Fatalf("got %+v, want a server", recordedDecisionOf(d))
	}
	if d = r.EndAttempt(r.now, req, Attempt{Result: ResultConnectionLost}); d.Server != nil {
		t.Errorf("got a third attempt at %s, want at most two", d.Server.ID)
	}
}

// Servers ejected during a cut were skipped for up to five seconds after its end.
func TestServersAreUsedAfterReconnection(t *testing.T) {
	r := newHandoverRun(handoverPeers()...)
	r.cutOff(t)
	for range 20 {
		r.now = r.now.Add(100 * time.Millisecond)
		if list, due := r.ServersToReach(r.now); due {
			r.RecordReachability(r.now, len(list), len(list))
		}
	}
	if r.CutOff() {
		t.Fatal("got a proxy that is cut off after two seconds of successful probes")
	}
	for i := range 8 {
		if _, d := r.begin(writePath); d.Server == nil {
			t.Errorf("request %d: got %+v, want a server", i, recordedDecisionOf(d))
		}
	}
}

// Connections to all servers of a service may fail while other services respond.
func TestRequestsOfUnreachableServiceAreHandedOver(t *testing.T) {
	r := newHandoverRun(handoverPeers()...)
	req, d := r.begin(writePath)
	for d.Server != nil {
		d = r.EndAttempt(r.now, req, Attempt{Result: ResultUnreachable})
	}
	expectHandover(t, d, "near")
	d = r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Reason: ReasonNoServer, NotRun: true})
	expectHandover(t, d, "far")
	d = r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Reason: ReasonNoServer, NotRun: true})
	if !d.NotRun {
		t.Errorf("got %+v, want a rejection", recordedDecisionOf(d))
	}
	for range maxRefusedHandovers {
		req, d = r.begin(writePath)
		for d.Server != nil || d.Handover != nil {
			if d.Server != nil {
				d = r.EndAttempt(r.now, req, Attempt{Result: ResultUnreachable})
				continue
			}
			d = r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Reason: ReasonNoServer, NotRun: true})
		}
	}
	if _, d = r.begin(writePath); d.Handover != nil {
		t.Errorf("got a handover to %s right after peers found no server, want a rejection", d.Handover.Proxy)
	}
}

// A server that leaves says so to the peer; this proxy must not send to it after the cut.
func TestSignalsOfServersAreLearnedFromPeers(t *testing.T) {
	r := newHandoverRun(handoverPeers()...)
	r.cutOff(t)
	req, _ := r.begin(readPath)
	r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Server: "s2", Signal: backpressure.Signal{Draining: true}})
	if !r.servers["s2"].backpressure.Draining() {
		t.Error("got a server in use, want it draining")
	}
}

// A request that crashes all servers of a service makes its proxies take themselves for cut off. The
// crashes must count all the same.
func TestCrashesCountWhileCutOff(t *testing.T) {
	r := newHandoverRun()
	deadly := quarantine.NewFingerprint("GET", "host", "/deadly", "", nil)
	for range 3 {
		req, d := r.BeginRequest(r.now, Request{ID: "r", Host: "host", Path: writePath, Work: deadly, Deadline: r.now.Add(5 * time.Second)})
		if d.Server == nil {
			t.Fatalf("got %+v, want a server", recordedDecisionOf(d))
		}
		r.EndAttempt(r.now, req, Attempt{Result: ResultConnectionLost})
		if !r.CutOff() {
			r.cutOff(t)
		}
		r.RemoveServer(r.now, d.Server.ID)
		// The others are back.
		r.RecordReachability(r.now, 1, 4)
		r.now = r.now.Add(6 * time.Second)
	}
	if got := len(r.QuarantinedWork(r.now)); got != 1 {
		t.Errorf("got %d quarantined requests after three crashes, want 1", got)
	}
}

// Requests whose connections were lost with the link must not be quarantined, however often they are
// sent.
func TestRequestsLostWithTheLinkAreNotQuarantined(t *testing.T) {
	r := newHandoverRun(handoverPeers()...)
	popular := quarantine.NewFingerprint("GET", "host", "/popular", "", nil)
	begin := func() (*ActiveRequest, Decision) {
		return r.BeginRequest(r.now, Request{ID: "r", Host: "host", Path: writePath, Work: popular, Deadline: r.now.Add(5 * time.Second)})
	}
	req, _ := begin()
	r.EndAttempt(r.now, req, Attempt{Result: ResultResponded})
	inFlight := make(map[*ActiveRequest]string)
	for range 12 {
		req, d := begin()
		inFlight[req] = d.Server.ID
	}
	r.cutOff(t)
	for req := range inFlight {
		r.EndAttempt(r.now, req, Attempt{Result: ResultConnectionLost})
	}
	for _, id := range inFlight {
		r.RecordConnectionRefused(r.now, id)
	}
	req, d := begin()
	expectHandover(t, d, "near")
	r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Server: "s0"})
	if got := len(r.QuarantinedWork(r.now)); got != 0 {
		t.Errorf("got %d quarantined requests, want none", got)
	}
}

// If all servers have failed, no peer can help, and the first server that is back must be used at
// once.
func TestReturningServersAreUsedWhileNoPeerCanHelp(t *testing.T) {
	r := newHandoverRun()
	r.cutOff(t)
	if _, d := r.begin(writePath); d.Reason != ReasonCutOff {
		t.Errorf("got %+v while no server responds, want a rejection", recordedDecisionOf(d))
	}
	r.RecordReachability(r.now, 1, 4)
	r.now = r.now.Add(6 * time.Second)
	if _, d := r.begin(writePath); d.Server == nil {
		t.Errorf("got %+v after a server responded, want a server", recordedDecisionOf(d))
	}
	if _, d := r.BeginRequest(r.now, Request{ID: "r", Host: "host", Path: readPath, IsHandover: true, HandoverFrom: "near"}); d.Server == nil {
		t.Errorf("got %+v for a request that was handed over, want a server", recordedDecisionOf(d))
	}
}

// Each lost connection may have been a crash. Two proxies together must not lose more than one.
func TestLostConnectionsBeforeHandoverCount(t *testing.T) {
	r := newHandoverRun()
	req, d := r.BeginRequest(r.now, Request{ID: "r", Host: "host", Path: readPath, IsHandover: true, HandoverFrom: "near", ConnectionsLost: quarantine.MaxConnectionLosses - 1})
	if d.Server == nil {
		t.Fatalf("got %+v, want a server", recordedDecisionOf(d))
	}
	if d = r.EndAttempt(r.now, req, Attempt{Result: ResultConnectionLost}); d.Server != nil {
		t.Errorf("got another attempt at %s, want none", d.Server.ID)
	}
}

func TestProxiesThatAreCutOffAreNotReturned(t *testing.T) {
	names := func(cutOff ...string) []string {
		var list []Proxy
		for i, name := range []string{"one", "two", "three"} {
			list = append(list, Proxy{Name: name, Domain: "north-a", Region: "north", CutOff: slices.Contains(cutOff, name), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)})
		}
		var got []string
		for _, p := range directory.New(withoutCutOff(list), false).Lookup(directory.Caller{Region: "north", Domain: "north-a"}, func(string) bool { return true }) {
			got = append(got, p.Name)
		}
		return got
	}
	if got, want := names("one"), []string{"two", "three"}; !slices.Equal(got, want) {
		t.Errorf("one cut off: got %v, want %v", got, want)
	}
	if got, want := names("one", "two", "three"), []string{"one", "two", "three"}; !slices.Equal(got, want) {
		t.Errorf("all cut off: got %v, want %v", got, want)
	}
}

// Guards against a request that earns retries at the proxy that got it and at the one it is handed over to.
func TestHandedOverRequestEarnsRetriesOnce(t *testing.T) {
	first, peer := newHandoverRun(handoverPeers()...), newHandoverRun()
	req, d := first.begin(readPath)
	for d.Server != nil {
		d = first.EndAttempt(first.now, req, Attempt{Result: ResultUnreachable})
	}
	expectHandover(t, d, "near")
	received, d := peer.BeginRequest(peer.now, Request{
		ID: "r", Host: "host", Path: readPath, IsHandover: true, HandoverFrom: "self", AttemptsUsed: d.Handover.AttemptsUsed, IsCounted: d.Handover.IsCounted,
	})
	if d = peer.EndAttempt(peer.now, received, Attempt{Result: ResultServerError}); d.Server != nil {
		t.Errorf("the peer retried at %s for a request that the first proxy counted, want no retry", d.Server.ID)
	}
	_, d = peer.BeginRequest(peer.now, Request{ID: "r", Host: "host", Path: readPath, IsHandover: true, HandoverFrom: "self"})
	if d.Server == nil {
		t.Fatalf("got %+v, want a server", recordedDecisionOf(d))
	}
	if usage := peer.service("service").retries.Usage(peer.now); usage.Allowed == 0 {
		t.Error("a request that only the peer counts earned nothing, want credit for it")
	}
}

// Guards against attempts at the servers of a second peer that no proxy charges: the first peer sent the
// request to a server, which rejected it, and then found no other.
func TestNextPeerIsARetryAfterAttemptsOfTheFirst(t *testing.T) {
	for _, c := range []struct {
		attempts  int
		hasCredit bool
		want      string
	}{
		{attempts: 0, hasCredit: false, want: "far"}, {attempts: 1, hasCredit: false, want: ""}, {attempts: 1, hasCredit: true, want: "far"},
	} {
		r := newHandoverRun(handoverPeers()...)
		r.cutOff(t)
		if !c.hasCredit {
			r.service("service").retries.ForgetCredit()
		}
		req, d := r.begin(readPath)
		expectHandover(t, d, "near")
		d = r.EndHandover(r.now, req, HandoverResult{Result: ResultResponded, Reason: ReasonNoServer, NotRun: true, ServersReached: c.attempts})
		expectHandover(t, d, c.want)
	}
}

// Guards against callers of a proxy that is cut off who are refused for a second each time that the
// others are short of servers, although these serve most of their own callers.
func TestPeersShortOfServersAreStillAsked(t *testing.T) {
	for _, c := range []struct{ servedOneIn, minHandedOver, maxHandedOver int }{
		{servedOneIn: 2, minHandedOver: 190, maxHandedOver: 200},
		{servedOneIn: 8, minHandedOver: 190, maxHandedOver: 200},
		{servedOneIn: 1000, minHandedOver: 1, maxHandedOver: 100},
	} {
		r := newHandoverRun(handoverPeers()...)
		r.cutOff(t)
		handedOver := 0
		for i := range 200 {
			r.now = r.now.Add(10 * time.Millisecond)
			req, d := r.begin(readPath)
			if d.Handover != nil {
				handedOver++
			}
			for d.Handover != nil {
				result := HandoverResult{Result: ResultResponded, Reason: ReasonNoServer, NotRun: true}
				if i%c.servedOneIn == c.servedOneIn-1 {
					result = HandoverResult{Result: ResultResponded, Server: "s0"}
				}
				d = r.EndHandover(r.now, req, result)
			}
		}
		if handedOver < c.minHandedOver || handedOver > c.maxHandedOver {
			t.Errorf("peers serve one in %d: %d of 200 requests were handed over, want %d to %d", c.servedOneIn, handedOver, c.minHandedOver, c.maxHandedOver)
		}
	}
}
