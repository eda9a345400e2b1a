package placing

import (
	"maps"
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

	// RouteGroups divides the routes of a service into those of the highest priority and all others.
	// The homes of the former are on other servers than those of the latter, as far as there are
	// enough, so that short urgent requests don't wait behind long ones. Routes of one group share
	// the homes of equally named objects. A nil RouteGroups has no urgent routes.
	//
	// The homes of a group depend on nothing but the servers. With groups for all priorities that a
	// configuration has, a route that was added moved the homes of others, a fifth to six tenths of
	// them to another region.
	RouteGroups struct {
		urgent map[string]bool
	}
)

const (
	// groupOthers is the group of the routes that are not urgent, groupUrgent that of those that are.
	groupOthers = iota
	groupUrgent
	groupCount
)

const (
	// highestPriority is the priority of urgent routes.
	highestPriority = 0
)

// NewRouteGroups groups routes by their priorities.
func NewRouteGroups(priorities map[string]int) *RouteGroups {
	g := &RouteGroups{urgent: make(map[string]bool)}
	for route, priority := range priorities {
		if priority == highestPriority {
			g.urgent[route] = true
		}
	}
	return g
}

// Equal reports whether two divisions lead to the same placement.
func (g *RouteGroups) Equal(other *RouteGroups) bool {
	return g.groupCount() == other.groupCount() && (g.groupCount() == 1 || maps.Equal(g.urgent, other.urgent))
}

func (g *RouteGroups) groupCount() int {
	if g == nil || len(g.urgent) == 0 {
		return 1
	}
	return groupCount
}

// groupOf returns the group of a route. Unknown routes are not urgent.
func (g *RouteGroups) groupOf(route string) int {
	if g != nil && g.urgent[route] {
		return groupUrgent
	}
	return groupOthers
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
