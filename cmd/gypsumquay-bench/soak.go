package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/fake/simnet"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	soakArguments struct {
		For      time.Duration `default:"1m" help:"duration of the soak test"`
		Seed     uint64        `help:"first seed; default is the current time"`
		Parallel int           `default:"4"`
		Examples string        `default:"examples"`
	}

	soak struct {
		mu     sync.Mutex
		next   uint64
		runs   int
		failed int
	}
)

func (a *soakArguments) run() error {
	if a.Seed == 0 {
		a.Seed = uint64(time.Now().UnixNano())
	}
	s := &soak{next: a.Seed}
	end := time.Now().Add(a.For)
	var group sync.WaitGroup
	for range a.Parallel {
		group.Go(func() {
			for time.Now().Before(end) {
				s.runSeed(a.Examples)
			}
		})
	}
	group.Wait()
	fmt.Printf("%d passed, %d failed\n", s.runs-s.failed, s.failed)
	if s.failed > 0 {
		return errors.New("invariants were violated")
	}
	return nil
}

func (s *soak) nextSeed() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.runs++
	return s.next
}

// runSeed runs the random scenario of the next seed. If invariants are violated, it prints them
// with the seed and the scenario to reproduce the failure.
func (s *soak) runSeed(examples string) {
	seed := s.nextSeed()
	deployments := simnet.Deployments()
	deployment := deployments[seed%uint64(len(deployments))]
	config, err := loadConfig(examples, deployment)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	config = config.ScaledDown()
	scenario := simnet.RandomScenario(config, simnet.SeededDraw(seed))
	violations := violationsOf(config, scenario)
	if len(violations) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed++
	text, _ := json.Marshal(scenario)
	fmt.Printf("seed %d (%s) failed:\n%s\nscenario: %s\n", seed, deployment.Name, strings.Join(violations, "\n"), text)
}

func violationsOf(c simnet.Config, scenario *simnet.Scenario) (violations []string) {
	defer func() {
		if r := recover(); r != nil {
			violations = append(violations, fmt.Sprint(r))
		}
	}()
	return simnet.RunScenario(c, scenario).Checks().Violations()
}

func loadConfig(examples string, d simnet.Deployment) (simnet.Config, error) {
	data, err := os.ReadFile(filepath.Join(examples, d.Name+".json"))
	if err != nil {
		return simnet.Config{}, errors.Wrap(err, "read bundle")
	}
	b, err := operator.ParseBundle(data)
	if err != nil {
		return simnet.Config{}, err
	}
	author, err := operator.NewKeyPair("anna")
	if err != nil {
		return simnet.Config{}, err
	}
	approver, err := operator.NewKeyPair("bruno")
	if err != nil {
		return simnet.Config{}, err
	}
	return d.Config(b, author, approver), nil
}
