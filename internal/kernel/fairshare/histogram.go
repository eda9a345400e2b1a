package fairshare

import (
	"math"
	"sort"
)

const (
	// binsPerOctave is the resolution of the histogram. The error of the level is a part of the
	// width of a bin, and the same for all accounts.
	binsPerOctave = 8
	// minExponent and maxExponent are the binary exponents of the loads that have bins of their
	// own: from a nanosecond of work to 30 years.
	minExponent = -30
	maxExponent = 30
	binCount    = (maxExponent - minExponent) * binsPerOctave
	// refreshEvery is the number of changes after which the sums are computed again. One
	// computation takes about as long as ten changes.
	refreshEvery = 64
)

var (
	// lowerBounds holds the smallest load of each bin.
	lowerBounds = newLowerBounds()
)

type (
	// histogram counts the loads of accounts by size, in order to find the level up to which a
	// capacity can serve each of them without sorting the accounts.
	histogram struct {
		counts [binCount]int32
		sums   [binCount]float64
		// served[i] is the capacity that is needed if each account gets at most the lower bound of
		// bin i. total is the capacity that all accounts need. They are out of date by up to
		// refreshEvery changes. weight is the weight of an arrival at the time of the computation,
		// or zero if there was none.
		served  [binCount + 1]float64
		total   float64
		weight  float64
		changes int
	}
)

// binOf returns the bin of a load. The bins of an octave have equal widths.
func binOf(load float64) int {
	fraction, exponent := math.Frexp(load)
	bin := (exponent-1-minExponent)*binsPerOctave + int((2*fraction-1)*binsPerOctave)
	return min(max(bin, 0), binCount-1)
}

func newLowerBounds() (bounds [binCount + 1]float64) {
	for bin := range bounds {
		bounds[bin] = math.Ldexp(1+float64(bin%binsPerOctave)/binsPerOctave, bin/binsPerOctave+minExponent)
	}
	return bounds
}

// move changes the load of an account. Loads of zero are not counted.
func (h *histogram) move(from, to float64) {
	if from > 0 {
		h.change(binOf(from), -1, -from)
	}
	if to > 0 {
		h.change(binOf(to), 1, to)
	}
	h.changes++
}

func (h *histogram) change(bin int, count int32, load float64) {
	h.counts[bin] += count
	h.sums[bin] += load
	if h.counts[bin] == 0 {
		// Removes the rounding error.
		h.sums[bin] = 0
	}
}

// refresh computes the sums again if there were enough changes.
func (h *histogram) refresh(weight float64) {
	if h.weight > 0 && h.changes < refreshEvery {
		return
	}
	h.weight, h.changes = weight, 0
	above := int32(0)
	for _, n := range h.counts {
		above += n
	}
	below := 0.0
	for bin := range binCount {
		h.served[bin] = below + float64(above)*lowerBounds[bin]
		below += h.sums[bin]
		above -= h.counts[bin]
	}
	h.served[binCount], h.total = below, below
}

// level returns the load up to which each account can be served with a capacity, which is relative
// to total. It is infinite if the capacity serves all. Loads are assumed to have grown in proportion
// to the weight since the last computation, as they do if accounts offer the same load as before:
// 64 arrivals may take seconds.
func (h *histogram) level(weight, capacity float64) float64 {
	return h.levelAtRefresh(capacity) * weight / h.weight
}

func (h *histogram) levelAtRefresh(capacity float64) float64 {
	if capacity >= h.total {
		return math.Inf(1)
	}
	next := sort.SearchFloat64s(h.served[:], capacity)
	if next == 0 {
		return 0
	}
	bin := next - 1
	lower, upper := lowerBounds[bin], lowerBounds[next]
	if h.served[next] <= h.served[bin] {
		return lower
	}
	return lower + (upper-lower)*(capacity-h.served[bin])/(h.served[next]-h.served[bin])
}
