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
	// endsToKnow is how many servers a request may end before it must be known, newsBound
	// the bound for news.
	endsToKnow = 3
	newsBound  = 4 * time.Second
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
	return d.Config(b, author, second).Small()
}

// TestScenarios plays every file in testdata; the stories are in the files.
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
			playAndCheck(t, sc)
		})
	}
}

func playAndCheck(t *testing.T, sc *Scenario) {
	t.Helper()
	s, panicked := playGuarded(baseConfig(t, 0), sc)
	got := strings.Join(s.Checks().Violations(), "\n") + panicked
	switch want := sc.Expect.Violation; {
	case want == "" && got != "":
		t.Errorf("got violations, want none:\n%s\nwhat was done:\n%s", got, strings.Join(s.Checks().Notes(), "\n"))
	case !strings.Contains(got, want):
		t.Errorf("got violations %q, want one with %q", got, want)
	}
	if sc.Expect.Violation != "" {
		return
	}
	checkOutcome(t, s, sc.Expect)
	if name := sc.Expect.WorksAgain; name != "" && s.now.Sub(s.checks.LastWork[name]) > 10*time.Second {
		t.Errorf("got the last new work of %s %s before the end, want it to have some again", name, s.now.Sub(s.checks.LastWork[name]))
	}
	if want := sc.Expect.LastWork.Std(); want > 0 {
		began := s.checks.from.Add(sc.Faults[0].At.Std())
		if got := s.checks.LastWork[sc.Faults[0].Target].Sub(began); got > want {
			t.Errorf("got the last new work of %s after %s, want at most %s", sc.Faults[0].Target, got, want)
		}
	}
}

// playGuarded turns a broken invariant inside a kernel into text.
func playGuarded(c Config, sc *Scenario) (s *Sim, panicked string) {
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
	s = Play(c, sc)
	return s, ""
}

func checkOutcome(t *testing.T, s *Sim, want Expect) {
	t.Helper()
	c := s.Callers()
	total := c.Lost
	for _, n := range c.Outcomes {
		total += n
	}
	done := 100 * float64(len(c.Took)) / float64(total)
	t.Logf("%d requests, %.2f%% done, outcomes %v, lost %d, reasons %v, booked %d, unsettled %d, used %.3f, in force %v, sheds %d, late %d, p50 %v p99 %v",
		total, done, c.Outcomes, c.Lost, c.Reasons, c.Booked, c.Unsettled, s.checks.Used, s.checks.InForce, s.checks.sheds, s.checks.late, c.Quantile(0.5), c.Quantile(0.99))
	if done < want.DonePercent {
		t.Errorf("got %.2f%% done, want at least %.2f%%", done, want.DonePercent)
	}
	if c.Unsettled > want.Unsettled {
		t.Errorf("got %d unsettled bookings, want at most %d", c.Unsettled, want.Unsettled)
	}
	if got := s.checks.Stopped(); got < want.Stopped {
		t.Errorf("got %d planned stops finished, want %d", got, want.Stopped)
	}
	if got := s.checks.Late(); got < want.Late {
		t.Errorf("got %d late dispatches refused, want at least %d", got, want.Late)
	}
	if want.EndsAtAll > 0 {
		all, after := c.sim.checks.DeadlyEnds(endsToKnow, newsBound)
		t.Logf("deadly requests ended %d servers, %d after the bound for news", all, after)
		if all > want.EndsAtAll || all < endsToKnow || after > want.EndsAfter {
			t.Errorf("deadly requests ended %d servers and %d after the bound for news, want %d to %d and %d at most", all, after, endsToKnow, want.EndsAtAll, want.EndsAfter)
		}
	}
	if want.InForce > 0 {
		if n := len(s.checks.InForce); n != int(s.current.Version) {
			t.Errorf("got %d bundles in force everywhere, want %d", n, s.current.Version)
		} else if got := s.checks.InForce[n-1]; got > want.InForce.Std() {
			t.Errorf("got the last bundle in force after %s, want at most %s", got, want.InForce.Std())
		}
	}
}
