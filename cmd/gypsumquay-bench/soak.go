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
		For      time.Duration `default:"1m" help:"how long to run"`
		Seed     uint64        `help:"first seed; the clock if left out"`
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
				s.one(a.Examples)
			}
		})
	}
	group.Wait()
	fmt.Printf("%d passed, %d failed\n", s.runs-s.failed, s.failed)
	if s.failed > 0 {
		return errors.New("invariants were broken")
	}
	return nil
}

func (s *soak) seed() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	s.runs++
	return s.next
}

// one plays one seed and prints what failed with how to play it again.
func (s *soak) one(examples string) {
	seed := s.seed()
	deployments := simnet.Deployments()
	d := deployments[seed%uint64(len(deployments))]
	c, err := loadConfig(examples, d)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	c = c.ScaledDown()
	sc := simnet.RandomScenario(c, simnet.SeededDraw(seed))
	violations := play(c, sc)
	if len(violations) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed++
	text, _ := json.Marshal(sc)
	fmt.Printf("seed %d (%s) failed:\n%s\nscenario: %s\n", seed, d.Name, strings.Join(violations, "\n"), text)
}

func play(c simnet.Config, sc *simnet.Scenario) (violations []string) {
	defer func() {
		if r := recover(); r != nil {
			violations = append(violations, fmt.Sprint(r))
		}
	}()
	return simnet.RunScenario(c, sc).Checks().Violations()
}

func loadConfig(examples string, d simnet.Deployment) (simnet.Config, error) {
	data, err := os.ReadFile(filepath.Join(examples, d.Name+".json"))
	if err != nil {
		return simnet.Config{}, errors.Wrap(err, "bundle")
	}
	b, err := operator.ParseBundle(data)
	if err != nil {
		return simnet.Config{}, err
	}
	author, err := operator.NewKeyPair("anna")
	if err != nil {
		return simnet.Config{}, err
	}
	second, err := operator.NewKeyPair("bruno")
	if err != nil {
		return simnet.Config{}, err
	}
	return d.Config(b, author, second), nil
}
