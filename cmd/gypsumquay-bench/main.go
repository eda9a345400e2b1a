// Command gypsumquay-bench measures the decisions on kernels in virtual time:
// benchmarks against baselines, what servers that end cost, slopes for the capacity page, and soak runs.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

type (
	arguments struct {
		Bench      *benchArguments      `arg:"subcommand:bench" help:"latency and goodput against baselines and the bound"`
		Slopes     *slopesArguments     `arg:"subcommand:slopes" help:"costs against size, for the capacity page"`
		Experiment *experimentArguments `arg:"subcommand:experiment" help:"placers against loads with warm servers, as a table"`
		Ablate     *ablateArguments     `arg:"subcommand:ablate" help:"each mechanism switched off in turn, against loads, as a table"`
		Crashes    *crashesArguments    `arg:"subcommand:ends" help:"servers lost and sound work refused against the ends that condemn work"`
		Limits     *limitsArguments     `arg:"subcommand:limits" help:"limits of client accounts: what is refused within them, over sizes and ways to keep them"`
		Signals    *signalsArguments    `arg:"subcommand:signals" help:"limits that backend servers name: what they get and what callers get, over sizes"`
		Soak       *soakArguments       `arg:"subcommand:soak" help:"randomised faults with fresh seeds until the time is over"`
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
		p.Fail("name a measurement")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
