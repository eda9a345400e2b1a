package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/operatorhttp"
	"github.com/gypsumquay/gypsumquay/internal/fake/backendfake"
	"github.com/gypsumquay/gypsumquay/internal/fake/callerfake"
	"github.com/gypsumquay/gypsumquay/internal/fake/ports"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	fleetSize   = 4
	waitTimeout = 30 * time.Second
)

type (
	// fleet runs a platform, backend servers and proxies as real processes.
	fleet struct {
		t       *testing.T
		binDir  string
		dir     string
		keys    [2]*operator.KeyPair
		proxies []*exec.Cmd
		client  *operatorhttp.Client
		// callers, operators and peers are the listen addresses of the proxies.
		callers, operators, peers []netip.AddrPort
		platform, control         netip.AddrPort
	}
)

func startFleet(t *testing.T, prepare ...func(*fleet)) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	f.binDir = filepath.Join(f.dir, "bin")
	build := exec.Command("go", "build", "-o", f.binDir+"/", "./cmd/...")
	build.Dir = filepath.Join("..", "..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, p := range prepare {
		p(f)
	}
	for i, name := range []string{"anna", "bruno"} {
		pair, err := operator.NewKeyPair(name)
		if err != nil {
			t.Fatal(err)
		}
		f.keys[i] = pair
	}
	addresses := freePorts(t, 2+3*fleetSize)
	f.platform, f.control, addresses = addresses[0], addresses[1], addresses[2:]
	f.callers, f.operators, f.peers = addresses[:fleetSize], addresses[fleetSize:2*fleetSize], addresses[2*fleetSize:]
	example := f.bundleWithFreePorts(filepath.Join("..", "..", "..", "examples", "trinacria.json"))
	f.startProcess("gypsumquay-fake", "platform", "--listen", f.platform.String(), "--lag", "1s")
	f.startProcess("gypsumquay-fake", "backend", "--bundle", example, "--control", f.control.String(), "--service-time", "40ms")
	for i := range fleetSize {
		f.proxies = append(f.proxies, f.startProxy(i))
	}
	f.client = operatorhttp.NewClient(f.operators, nil)
	f.rollout(example)
	f.waitLive(fleetSize)
	return f
}

func freePorts(t *testing.T, n int) []netip.AddrPort {
	t.Helper()
	list, err := ports.Free(n)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// bundleWithFreePorts copies an example bundle and replaces its addresses by free ones. With the
// addresses of the example, a demo or a concurrent test run may use the same ports. The fake
// backend then exits, and its control port refuses connections.
func (f *fleet) bundleWithFreePorts(example string) string {
	f.t.Helper()
	data, err := os.ReadFile(example)
	if err != nil {
		f.t.Fatal(err)
	}
	pattern := regexp.MustCompile(`127\.0\.0\.1:[0-9]+`)
	addresses := freePorts(f.t, len(pattern.FindAll(data, -1)))
	rewritten := pattern.ReplaceAllFunc(data, func([]byte) []byte {
		address := addresses[0]
		addresses = addresses[1:]
		return []byte(address.String())
	})
	path := filepath.Join(f.dir, "bundle.json")
	if err := os.WriteFile(path, rewritten, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// startProcess starts a process that is killed at the end of the test.
func (f *fleet) startProcess(name string, args ...string) *exec.Cmd {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(f.binDir, name), args...)
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s-%d.log", name, len(f.proxies))))
	if err != nil {
		f.t.Fatal(err)
	}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
	})
	return cmd
}

func (f *fleet) startProxy(i int) *exec.Cmd {
	f.t.Helper()
	settings := map[string]any{
		"name": fmt.Sprintf("proxy-%d", i+1), "region": "palermo", "failure-domain": "palermo-a",
		"listen": map[string]any{
			"callers": f.callers[i], "operators": f.operators[i], "peers": f.peers[i],
		},
		"platform": []netip.AddrPort{f.platform}, "seed-peers": []netip.AddrPort{f.peers[0], f.peers[1]},
		"trusted-operators": []operator.TrustedKey{f.keys[0].TrustedKey(), f.keys[1].TrustedKey()},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(f.dir, fmt.Sprintf("proxy-%d.json", i+1))
	if err := os.WriteFile(path, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.post("http://" + f.platform.String() + "/control/machines/" + fmt.Sprintf("proxy-%d", i+1) + "/live")
	return f.startProcess("gypsumquayd", path)
}

func (f *fleet) post(target string) {
	f.t.Helper()
	f.eventually("POST "+target, func() bool {
		response, err := http.Post(target, "application/json", nil)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (f *fleet) eventually(what string, done func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for %s after %s", what, waitTimeout)
}

func (f *fleet) rollout(bundlePath string) {
	f.t.Helper()
	data, err := os.ReadFile(bundlePath)
	if err != nil {
		f.t.Fatal(err)
	}
	b, err := operator.ParseBundle(data)
	if err != nil {
		f.t.Fatal(err)
	}
	e, err := f.keys[0].Propose(b)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := f.keys[1].Approve(e); err != nil {
		f.t.Fatal(err)
	}
	e.OperationID = "first"
	f.eventually("rollout", func() bool {
		out, err := f.client.Rollout(context.Background(), e)
		return err == nil && out.Result == "accepted"
	})
}

func (f *fleet) waitLive(want int) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("%d live proxies", want), func() bool {
		members, err := f.client.Members(context.Background())
		live := 0
		for _, m := range members.Members {
			if m.State == peer.StateLive {
				live++
			}
		}
		return err == nil && live == want
	})
}

// startLoad starts callers that browse and book. Their report is sent to the returned channel.
func (f *fleet) startLoad(name string, duration, timeout time.Duration) <-chan callerfake.Report {
	seeds := []netip.AddrPort{f.callers[0], f.callers[2], f.callers[3]}
	callers := callerfake.NewLoadGenerator(callerfake.Config{
		Seeds: seeds, Callers: 48, Rate: 200, Duration: duration, BrowseServices: []string{"notice-board"}, BookingService: "bid-ledger",
		BookingPermille: 400, KeyPrefix: name, Timeout: timeout,
	})
	out := make(chan callerfake.Report, 1)
	go func() { out <- callers.Run(context.Background()) }()
	return out
}

// bookingRuns returns how often each booking ran, summed over all backend servers.
func (f *fleet) bookingRuns() map[string]int {
	f.t.Helper()
	response, err := http.Get("http://" + f.control.String() + "/stats")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var all []backendfake.Stats
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		f.t.Fatal(err)
	}
	runs := make(map[string]int)
	for _, s := range all {
		for key, n := range s.Runs {
			runs[key] += n
		}
	}
	return runs
}

func (f *fleet) checkAtMostOnce(r callerfake.Report) {
	f.t.Helper()
	runs := f.bookingRuns()
	for key, n := range runs {
		if n > 1 {
			f.t.Errorf("%s: got %d runs, want at most 1", key, n)
		}
	}
	if r.BookingsDone > len(runs) {
		f.t.Errorf("got %d bookings confirmed and %d run, want every confirmed booking to have run", r.BookingsDone, len(runs))
	}
	if r.WrongAnswers != 0 || r.Truncated != 0 {
		f.t.Errorf("got %d wrong and %d truncated responses, want none", r.WrongAnswers, r.Truncated)
	}
	if r.BookingsDone == 0 {
		f.t.Error("got no bookings, want some")
	}
	f.t.Logf("outcomes %v, reasons %v, bookings done %d, run %d, connections failed %d, retries %d", r.Outcomes, r.Reasons, r.BookingsDone, len(runs), r.ConnectionsFailed, r.Retries)
}

// TestRealProcesses covers what runs in virtual time cannot: signals to real processes, while
// callers browse and book.
func TestRealProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := startFleet(t)

	// A proxy is suspended during bookings and resumed four seconds later, after the callers have
	// timed out and retried at other proxies. Requests that it had started must not run twice.
	t.Run("frozen", func(_ *testing.T) {
		report := f.startLoad("frozen", 10*time.Second, 2500*time.Millisecond)
		time.Sleep(2 * time.Second)
		_ = f.proxies[1].Process.Signal(syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		_ = f.proxies[1].Process.Signal(syscall.SIGCONT)
		f.checkAtMostOnce(<-report)
	})

	// A proxy performs a graceful shutdown with requests in flight while callers have cached lookup
	// responses. No request may be interrupted, and no booking left with an unknown outcome.
	t.Run("graceful shutdown", func(t *testing.T) {
		f.waitLive(fleetSize)
		report := f.startLoad("stop", 10*time.Second, 10*time.Second)
		time.Sleep(2 * time.Second)
		_ = f.proxies[1].Process.Signal(syscall.SIGTERM)
		r := <-report
		if err := f.proxies[1].Wait(); err != nil {
			t.Errorf("got exit error %v of the stopped proxy, want none", err)
		}
		f.checkAtMostOnce(r)
		if r.ConnectionsFailed != 0 || r.BookingsUnresolved != 0 {
			t.Errorf("got %d requests interrupted and %d bookings unresolved, want none", r.ConnectionsFailed, r.BookingsUnresolved)
		}
	})

	// A proxy is killed with bookings in flight. The other proxies return the outcome unknown for
	// them, and none may run twice.
	t.Run("killed", func(_ *testing.T) {
		report := f.startLoad("kill", 8*time.Second, 2500*time.Millisecond)
		time.Sleep(2 * time.Second)
		_ = f.proxies[2].Process.Kill()
		f.post("http://" + f.platform.String() + "/control/machines/proxy-3/gone")
		f.checkAtMostOnce(<-report)
	})
}
