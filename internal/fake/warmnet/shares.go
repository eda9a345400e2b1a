package warmnet

import (
	"math"
	"time"
)

const (
	// shareWindow is the time over which operators compare regions' shares.
	shareWindow = 2 * time.Second
	// shareLeast is how many requests a window must have for its shares to say
	// anything: their standard deviation is under 0.04 then.
	shareLeast = 200
)

type (
	// regionCounts counts where the requests of each region's callers are sent, by window.
	regionCounts map[string][]map[string]int
)

// sent counts a request of a region's caller that is sent to a server's region.
func (s regionCounts) sent(now time.Duration, from, to string) {
	n := int(now / shareWindow)
	for len(s[from]) <= n {
		s[from] = append(s[from], make(map[string]int))
	}
	s[from][n][to]++
}

// shifted is the largest part of a region's requests that went to another region than
// in the window before.
func (s regionCounts) shifted() float64 {
	most := 0.0
	for _, windows := range s {
		for n := 1; n < len(windows); n++ {
			most = max(most, moved(windows[n-1], windows[n]))
		}
	}
	return most
}

func moved(before, after map[string]int) float64 {
	sum := func(counts map[string]int) (n int) {
		for _, count := range counts {
			n += count
		}
		return n
	}
	was, is := sum(before), sum(after)
	if was < shareLeast || is < shareLeast {
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
		difference += math.Abs(float64(after[region])/float64(is) - float64(before[region])/float64(was))
	}
	return difference / 2
}
