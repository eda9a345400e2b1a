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
		Loads      []string             `arg:"positional" help:"load files; all of the emulator's own if left out"`
		Seeds      int                  `default:"5" help:"plays of each load"`
		Parallel   int64                `default:"6" help:"plays at a time"`
		Mechanisms []steering.Mechanism `arg:"--mechanism,separate" help:"mechanisms to switch off, one at a time; all if left out"`
	}

	// shares are the parts answered within the target, by seed.
	shares []float64
)

// run plays loads with all mechanisms and with each of them off, and prints by how
// much the share answered within the target changes.
func (a *ablateArguments) run() error {
	loads, err := loadFiles(a.Loads)
	if err != nil {
		return err
	}
	if a.Seeds < 1 {
		return errors.New("--seeds: must be at least 1")
	}
	off := a.Mechanisms
	if len(off) == 0 {
		off = steering.Mechanisms()
	}
	fmt.Printf("%-16s %7s", "LOAD", "ALL ON")
	for _, m := range off {
		fmt.Printf(" %*s", columnWidth(m), m)
	}
	fmt.Println()
	for _, path := range loads {
		load, err := warmnet.ReadLoad(path)
		if err != nil {
			return err
		}
		a.measureLoad(strings.TrimSuffix(filepath.Base(path), ".json"), load, off)
	}
	return nil
}

// measureLoad prints one load: the share with all mechanisms on, and for each what switching
// it off changes, with the standard error of the difference between equal seeds.
func (a *ablateArguments) measureLoad(name string, load warmnet.Load, off []steering.Mechanism) {
	results := make([]shares, len(off)+1)
	slots := semaphore.NewWeighted(a.Parallel)
	var group sync.WaitGroup
	for i := range results {
		results[i] = make(shares, a.Seeds)
		variant := load
		if i > 0 {
			variant.Off = []steering.Mechanism{off[i-1]}
		}
		for seed := range a.Seeds {
			group.Go(func() {
				_ = slots.Acquire(background, 1)
				defer slots.Release(1)
				results[i][seed] = warmnet.Play(variant, steering.DefaultPlacer, uint64(seed)+1).Share()
			})
		}
	}
	group.Wait()
	fmt.Printf("%-16s %7.3f", name, results[0].mean())
	for i, m := range off {
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

// differenceFrom is the mean difference to the same seeds and its standard error.
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
