package warmnet

import (
	"math"
	"time"
)

const (
	// shiftWindow is the time over which operators compare regions' shares.
	shiftWindow = 2 * time.Second
	// minWindowRequests is how many requests a window must have for its shares to say
	// anything: their standard deviation is under 0.04 then.
	minWindowRequests = 200
)

type (
	// regionCounts counts where the requests of each region's callers are sent, by window.
	regionCounts map[string][]map[string]int
)

// record counts a request of a region's caller that is sent to a server's region.
func (s regionCounts) record(now time.Duration, from, to string) {
	window := int(now / shiftWindow)
	for len(s[from]) <= window {
		s[from] = append(s[from], make(map[string]int))
	}
	s[from][window][to]++
}

// maxShift is the largest part of a region's requests that went to another region than
// in the window before.
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
