package main

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/gypsumquay/gypsumquay/internal/fake/warmnet"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	experimentArguments struct {
		Loads   []string `arg:"positional" help:"load files; default is all load files of the emulator"`
		Seeds   int      `default:"5" help:"runs of each load"`
		Placers []string `arg:"--placer,separate" help:"placers to compare; default is all"`
	}
)

// run simulates each combination of load, placer and seed, and prints a table.
func (a *experimentArguments) run() error {
	loads, err := loadFiles(a.Loads)
	if err != nil {
		return err
	}
	placers := a.Placers
	if len(placers) == 0 {
		placers = append(steering.Placers(), warmnet.Oracle)
	}
	fmt.Printf("%-12s %-16s %9s %12s %9s %9s %9s\n", "LOAD", "PLACER", "IN TARGET", "WORST REGION", "REFUSED", "FIRST", "P99 MS")
	for _, path := range loads {
		load, err := warmnet.ReadScenario(path)
		if err != nil {
			return err
		}
		for _, placer := range placers {
			a.measurePlacer(strings.TrimSuffix(filepath.Base(path), ".json"), load, placer)
		}
	}
	return nil
}

// loadFiles returns the given files, or all load files of the emulator if none are given.
func loadFiles(named []string) ([]string, error) {
	if len(named) > 0 {
		return named, nil
	}
	found, err := filepath.Glob("internal/fake/warmnet/testdata/*.json")
	return found, errs.Wrap(err, "list load files")
}

func (a *experimentArguments) measurePlacer(name string, load warmnet.Scenario, placer string) {
	var share, worst, rejected, firstRuns, p99 float64
	n := float64(a.Seeds)
	for seed := range a.Seeds {
		outcome := warmnet.Simulate(load, placer, uint64(seed)+1)
		share += outcome.ShareWithinTarget() / n
		worst += outcome.WorstRegionShare() / n
		rejected += float64(outcome.Rejected) / float64(max(1, outcome.Sent)) / n
		firstRuns += float64(outcome.ColdRuns) / n
		if len(outcome.Latencies) > 0 {
			p99 += float64(outcome.Latencies[len(outcome.Latencies)*99/100].Milliseconds()) / n
		}
	}
	fmt.Printf("%-12s %-16s %9.3f %12.3f %9.3f %9.0f %9.0f\n", name, placer, share, worst, rejected, firstRuns, p99)
}
