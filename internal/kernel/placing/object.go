package placing

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// rankingIndexCount is objectIndexCount, rounded up to whole windows.
	rankingIndexCount = (objectIndexCount + windowSize - 1) / windowSize * windowSize
	// groupStride is the distance between the ranking indexes of equally numbered objects of two
	// consecutive groups. It is the golden section of rankingIndexCount, so that the lowest numbers
	// of up to five groups are more than 300 apart. Groups share the rankings, whose memory would
	// grow with each group otherwise.
	groupStride = 2536
)

type (
	// Object identifies an object. Objects of different routes are different even if they have the
	// same name.
	Object struct {
		Route string
		Name  string
	}

	// RouteGroups divides the routes of a service into groups of equal priority. Objects of
	// different groups have their homes on different servers as far as there are enough; routes of
	// one group share the homes of equally named objects. A nil RouteGroups has one group.
	RouteGroups struct {
		// group holds the group of each route; the most urgent is 0.
		group map[string]int
		count int
	}
)

// NewRouteGroups groups routes by their priorities.
func NewRouteGroups(priorities map[string]int) *RouteGroups {
	levels := slices.Compact(slices.Sorted(maps.Values(priorities)))
	g := &RouteGroups{group: make(map[string]int, len(priorities)), count: len(levels)}
	for route, priority := range priorities {
		g.group[route], _ = slices.BinarySearch(levels, priority)
	}
	return g
}

// Equal reports whether two divisions lead to the same placement.
func (g *RouteGroups) Equal(other *RouteGroups) bool {
	if g.groupCount() != other.groupCount() {
		return false
	}
	return g.groupCount() == 1 || maps.Equal(g.group, other.group)
}

func (g *RouteGroups) groupCount() int {
	if g == nil {
		return 1
	}
	return max(1, g.count)
}

// groupOf returns the group of a route. Unknown routes belong to the first one.
func (g *RouteGroups) groupOf(route string) int {
	if g == nil {
		return 0
	}
	return g.group[route]
}

// ObjectIndex returns an object's position in the order of assignment. Objects that are numbered
// densely, in decimal or hexadecimal digits, keep their numbers and are spread evenly; hashing a
// few dozen names wouldn't spread them evenly.
func ObjectIndex(object string) int {
	n, err := strconv.ParseUint(object, 16, 63)
	if err == nil && n < objectIndexCount {
		return int(n)
	}
	return int(xxhash.Sum64String(object) % objectIndexCount)
}

// rankingIndex returns the number by which servers are ranked for an object of a group.
func rankingIndex(group, index int) int {
	return (index + group*groupStride) % rankingIndexCount
}
