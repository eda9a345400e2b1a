package hedging

import (
	"slices"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/serverload"
)

const (
	// MinSamples is the number of runs from which the quantile is known well enough to hedge.
	MinSamples = 20
	// maxSamples is the number of recent runs that the quantile is taken from. They take 2 KB per
	// route and cover at least a few seconds of its requests at one proxy.
	maxSamples = 128
	// quantile is the share of the usual range that the delay covers. If three runs in a hundred are
	// slow, the 0.95 quantile of 128 runs is one of them at one time in ten, and that of 20 runs at
	// every second time.
	quantile = 0.92
)

type (
	// RunTimes learns how long the warm runs of a route take at servers. The zero value knows no
	// runs.
	RunTimes struct {
		// recent holds the last runs in the order in which they ended, from next on; sorted holds
		// the same runs by duration.
		recent, sorted []time.Duration
		next           int
	}
)

// Record records a warm run: the time until the response without the round trip and the expected
// wait for a slot. The run of an attempt that was cancelled because its hedge won is recorded with
// the time until then. Without it, only short runs would be seen and the delay would shrink with
// each hedge. before and after are the work factors that the server reported before and after the
// run, whose effect on the duration is removed.
func (r *RunTimes) Record(run time.Duration, before, after float64) {
	run = r.atUsualSpeed(max(0, run), before, after)
	if len(r.recent) < maxSamples {
		r.recent = append(r.recent, run)
	} else {
		i, _ := slices.BinarySearch(r.sorted, r.recent[r.next])
		r.sorted = slices.Delete(r.sorted, i, i+1)
		r.recent[r.next] = run
		r.next = (r.next + 1) % maxSamples
	}
	i, _ := slices.BinarySearch(r.sorted, run)
	r.sorted = slices.Insert(r.sorted, i, run)
}

// atUsualSpeed returns how long a run would have taken at the usual speed of its server. A duration
// between those at the two factors says nothing but that the speed changed, so it counts as usual.
// The factors explain at most the difference from a usual run, so that a server that reports a speed
// at which it does not work does not change the delay of the others.
func (r *RunTimes) atUsualSpeed(run time.Duration, before, after float64) time.Duration {
	usual := r.Usual()
	if usual <= 0 {
		return time.Duration(float64(run) / min(before, after))
	}
	corrected := time.Duration(serverload.Unexplained(float64(run)/float64(usual), before, after) * float64(usual))
	if corrected < run {
		return min(run, max(corrected, usual))
	}
	return max(run, min(corrected, usual))
}

// Long returns the duration that few warm runs exceed. It reports false while too few runs are
// known.
func (r *RunTimes) Long() (time.Duration, bool) {
	if len(r.sorted) < MinSamples {
		return 0, false
	}
	return r.sorted[int(quantile*float64(len(r.sorted)))], true
}

// Usual returns the median duration of the warm runs, or zero if none is known.
func (r *RunTimes) Usual() time.Duration {
	if len(r.sorted) == 0 {
		return 0
	}
	return r.sorted[len(r.sorted)/2]
}
