package warmnet

import (
	"math"
	"time"
)

const (
	// shiftWindow is the window over which operators compare the shares of regions.
	shiftWindow = 2 * time.Second
	// minWindowRequests is the number of requests that a window needs for meaningful shares: their
	// standard deviation is below 0.04 then.
	minWindowRequests = 200
)

type (
	// regionCounts counts, for each region of callers and each window, the requests sent to each
	// region of servers.
	regionCounts map[string][]map[string]int
)

// record counts a request from a caller's region to a server's region.
func (s regionCounts) record(now time.Duration, from, to string) {
	window := int(now / shiftWindow)
	for len(s[from]) <= window {
		s[from] = append(s[from], make(map[string]int))
	}
	s[from][window][to]++
}

// maxShift returns the largest fraction of a region's requests that moved to another region from
// one window to the next.
func (s regionCounts) maxShift() float64 {
	largest := 0.0
	for _, windows := range s {
		for n := 1; n < len(windows); n++ {
			largest = max(largest, shift(windows[n-1], windows[n]))
		}
	}
	return largest
}

func shift(before, after map[string]int) float64 {
	total := func(counts map[string]int) (n int) {
		for _, count := range counts {
			n += count
		}
		return n
	}
	totalBefore, totalAfter := total(before), total(after)
	if totalBefore < minWindowRequests || totalAfter < minWindowRequests {
		return 0
	}
	regions := make(map[string]bool)
	for region := range before {
		regions[region] = true
	}
	for region := range after {
		regions[region] = true
	}
	difference := 0.0
	for region := range regions {
		difference += math.Abs(float64(after[region])/float64(totalAfter) - float64(before[region])/float64(totalBefore))
	}
	return difference / 2
}
