package main

import (
	"fmt"
	"math"
	"path/filepath"
	"strings"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"

	"github.com/gypsumquay/gypsumquay/internal/fake/warmnet"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	ablateArguments struct {
		Loads      []string             `arg:"positional" help:"load files; default is all load files of the emulator"`
		Seeds      int                  `default:"5" help:"runs of each load"`
		Parallel   int64                `default:"6" help:"concurrent runs"`
		Mechanisms []steering.Mechanism `arg:"--mechanism,separate" help:"mechanisms to disable, one at a time; default is all"`
	}

	// shares holds the share of requests answered within the target, by seed.
	shares []float64
)

// run simulates loads with all mechanisms enabled and with each one disabled, and prints the change
// in the share of requests answered within the target.
func (a *ablateArguments) run() error {
	loads, err := loadFiles(a.Loads)
	if err != nil {
		return err
	}
	if a.Seeds < 1 {
		return errors.New("--seeds: must be at least 1")
	}
	mechanisms := a.Mechanisms
	if len(mechanisms) == 0 {
		mechanisms = steering.Mechanisms()
	}
	fmt.Printf("%-16s %7s", "LOAD", "ALL ON")
	for _, m := range mechanisms {
		fmt.Printf(" %*s", columnWidth(m), m)
	}
	fmt.Println()
	for _, path := range loads {
		load, err := warmnet.ReadScenario(path)
		if err != nil {
			return err
		}
		a.measureLoad(strings.TrimSuffix(filepath.Base(path), ".json"), load, mechanisms)
	}
	return nil
}

// measureLoad prints the result of one load: the share with all mechanisms enabled, and for each
// mechanism the change when it is disabled, with the standard error of the paired differences by
// seed.
func (a *ablateArguments) measureLoad(name string, load warmnet.Scenario, mechanisms []steering.Mechanism) {
	results := make([]shares, len(mechanisms)+1)
	slots := semaphore.NewWeighted(a.Parallel)
	var group sync.WaitGroup
	for i := range results {
		results[i] = make(shares, a.Seeds)
		variant := load
		if i > 0 {
			variant.MechanismsOff = []steering.Mechanism{mechanisms[i-1]}
		}
		for seed := range a.Seeds {
			group.Go(func() {
				_ = slots.Acquire(background, 1)
				defer slots.Release(1)
				results[i][seed] = warmnet.Simulate(variant, steering.DefaultPlacer, uint64(seed)+1).ShareWithinTarget()
			})
		}
	}
	group.Wait()
	fmt.Printf("%-16s %7.3f", name, results[0].mean())
	for i, m := range mechanisms {
		change, standardError := results[i+1].differenceFrom(results[0])
		fmt.Printf(" %*s", columnWidth(m), fmt.Sprintf("%+.3f±%.3f", change, standardError))
	}
	fmt.Println()
}

func columnWidth(m steering.Mechanism) int { return max(len("+0.000±0.000"), len(m)) }

func (s shares) mean() float64 {
	sum := 0.0
	for _, x := range s {
		sum += x
	}
	return sum / float64(len(s))
}

// differenceFrom returns the mean of the paired differences by seed and its standard error.
func (s shares) differenceFrom(base shares) (mean, standardError float64) {
	differences := make(shares, len(s))
	for i := range s {
		differences[i] = s[i] - base[i]
	}
	mean = differences.mean()
	if len(s) < 2 {
		return mean, 0
	}
	sum := 0.0
	for _, d := range differences {
		sum += (d - mean) * (d - mean)
	}
	return mean, math.Sqrt(sum / float64(len(s)-1) / float64(len(s)))
}
