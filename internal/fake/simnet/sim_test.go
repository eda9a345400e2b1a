package simnet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// crashesToDetect is how many servers a request may crash before the proxies must know of it,
	// detectionTimeout how long that knowledge may take to reach all of them.
	crashesToDetect  = 3
	detectionTimeout = 4 * time.Second
)

func baseConfig(t *testing.T, deployment int) Config {
	t.Helper()
	d := Deployments()[deployment]
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", d.Name+".json"))
	if err != nil {
		t.Fatal(err)
	}
	b, err := operator.ParseBundle(data)
	if err != nil {
		t.Fatal(err)
	}
	author, err := operator.NewKeyPair("anna")
	if err != nil {
		t.Fatal(err)
	}
	second, err := operator.NewKeyPair("bruno")
	if err != nil {
		t.Fatal(err)
	}
	return d.Config(b, author, second).ScaledDown()
}

// TestScenarios runs every scenario file in testdata; each file describes its scenario.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d scenario files, error %v; want some", len(files), err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".json"), func(t *testing.T) {
			t.Parallel()
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			sc, err := ParseScenario(data)
			if err != nil {
				t.Fatal(err)
			}
			runAndCheckScenario(t, sc)
		})
	}
}

func runAndCheckScenario(t *testing.T, sc *Scenario) {
	t.Helper()
	s, panicked := runRecoveringPanics(baseConfig(t, 0), sc)
	got := strings.Join(s.Checks().Violations(), "\n") + panicked
	switch want := sc.Expect.Violation; {
	case want == "" && got != "":
		t.Errorf("got violations, want none:\n%s\nevents:\n%s", got, strings.Join(s.Checks().EventLog(), "\n"))
	case !strings.Contains(got, want):
		t.Errorf("got violations %q, want one with %q", got, want)
	}
	if sc.Expect.Violation != "" {
		return
	}
	checkExpectations(t, s, sc.Expect)
	if name := sc.Expect.ServerUsedAgain; name != "" && s.now.Sub(s.checks.LastDispatch[name]) > 10*time.Second {
		t.Errorf("got the last dispatch to %s %s before the end, want one in the last 10s", name, s.now.Sub(s.checks.LastDispatch[name]))
	}
	if want := sc.Expect.MaxLastDispatchDelay.Std(); want > 0 {
		began := s.checks.measureFrom.Add(sc.Faults[0].At.Std())
		if got := s.checks.LastDispatch[sc.Faults[0].Target].Sub(began); got > want {
			t.Errorf("got the last dispatch to %s after %s, want at most %s", sc.Faults[0].Target, got, want)
		}
	}
}

// runRecoveringPanics runs a scenario and returns the text of a panic, which a kernel raises when
// one of its invariants is violated.
func runRecoveringPanics(c Config, sc *Scenario) (s *Sim, panicked string) {
	defer func() {
		if r := recover(); r != nil {
			text, ok := r.(string)
			if !ok {
				panic(r)
			}
			panicked = text
		}
	}()
	s = &Sim{checks: &Checks{}}
	s = RunScenario(c, sc)
	return s, ""
}

func checkExpectations(t *testing.T, s *Sim, want Expect) {
	t.Helper()
	c := s.Callers()
	total := c.ResponsesLost
	for _, n := range c.Outcomes {
		total += n
	}
	done := 100 * float64(len(c.Latencies)) / float64(total)
	t.Logf("%d requests, %.2f%% done, outcomes %v, responses lost %d, reasons %v, bookings done %d, unresolved %d, peak utilization %.3f, rollout times %v, shed %d, expired %d, p50 %v p99 %v",
		total, done, c.Outcomes, c.ResponsesLost, c.Reasons, c.BookingsDone, c.BookingsUnresolved, s.checks.PeakUtilization, s.checks.RolloutTimes, s.checks.shedRequests, s.checks.expiredDispatches, c.Quantile(0.5), c.Quantile(0.99))
	if done < want.MinDonePercent {
		t.Errorf("got %.2f%% done, want at least %.2f%%", done, want.MinDonePercent)
	}
	if c.BookingsUnresolved > want.MaxUnresolvedBookings {
		t.Errorf("got %d unresolved bookings, want at most %d", c.BookingsUnresolved, want.MaxUnresolvedBookings)
	}
	if got := s.checks.GracefulShutdowns(); got < want.MinGracefulShutdowns {
		t.Errorf("got %d graceful shutdowns completed, want at least %d", got, want.MinGracefulShutdowns)
	}
	if got := s.checks.ExpiredDispatches(); got < want.MinExpiredDispatches {
		t.Errorf("got %d dispatches rejected after their deadline, want at least %d", got, want.MinExpiredDispatches)
	}
	if want.MaxCrashes > 0 {
		all, after := c.sim.checks.CrashCounts(crashesToDetect, detectionTimeout)
		t.Logf("requests crashed %d servers, %d after the detection timeout", all, after)
		if all > want.MaxCrashes || all < crashesToDetect || after > want.MaxCrashesAfterDetection {
			t.Errorf("requests crashed %d servers and %d after the detection timeout, want %d to %d and at most %d", all, after, crashesToDetect, want.MaxCrashes, want.MaxCrashesAfterDetection)
		}
	}
	if want.MaxRolloutTime > 0 {
		if n := len(s.checks.RolloutTimes); n != int(s.currentBundle.Version) {
			t.Errorf("got %d bundles used by all proxies, want %d", n, s.currentBundle.Version)
		} else if got := s.checks.RolloutTimes[n-1]; got > want.MaxRolloutTime.Std() {
			t.Errorf("got the last bundle used by all proxies after %s, want at most %s", got, want.MaxRolloutTime.Std())
		}
	}
}
