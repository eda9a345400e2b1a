// Command gypsumquay-bench measures the decisions of kernels in virtual time: benchmarks against
// baselines, the cost of server crashes, cost by fleet size for capacity planning, and soak tests.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

type (
	arguments struct {
		Bench      *benchArguments      `arg:"subcommand:bench" help:"latency and goodput compared with baselines and the bound"`
		Slopes     *slopesArguments     `arg:"subcommand:slopes" help:"costs by size, for capacity planning"`
		Experiment *experimentArguments `arg:"subcommand:experiment" help:"table of placers by load, with warm servers"`
		Ablate     *ablateArguments     `arg:"subcommand:ablate" help:"table of loads with each mechanism disabled in turn"`
		Crashes    *crashesArguments    `arg:"subcommand:ends" help:"servers lost and harmless requests rejected, by quarantine threshold"`
		Limits     *limitsArguments     `arg:"subcommand:limits" help:"client account limits: requests rejected below the limit, by fleet size and enforcement method"`
		Signals    *signalsArguments    `arg:"subcommand:signals" help:"limits signaled by backend servers: use of the limit and results for callers, by fleet size"`
		Soak       *soakArguments       `arg:"subcommand:soak" help:"random faults with new seeds until the time is over"`
	}
)

var (
	background = context.Background()
)

func main() {
	var a arguments
	p := arg.MustParse(&a)
	var err error
	switch {
	case a.Bench != nil:
		err = a.Bench.run()
	case a.Soak != nil:
		err = a.Soak.run()
	case a.Crashes != nil:
		err = a.Crashes.run()
	case a.Limits != nil:
		err = a.Limits.run()
	case a.Signals != nil:
		err = a.Signals.run()
	case a.Ablate != nil:
		err = a.Ablate.run()
	case a.Experiment != nil:
		err = a.Experiment.run()
	case a.Slopes != nil:
		err = a.Slopes.run()
	default:
		p.Fail("a subcommand is required")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
