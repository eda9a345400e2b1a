package warmnet

import (
	"slices"
	"strconv"
)

type (
	server struct {
		id, region string
		// index is the position of the server among those of its region.
		index   int
		running int
		queue   []*request
		// activeRequests are the requests that are running.
		activeRequests []*request
		cached         []string
		removed        bool
		// crashed servers refuse connections. restarts counts the servers that have replaced this
		// one.
		crashed  bool
		restarts int
		// serviceTimeFactor multiplies the service time of the scenario.
		serviceTimeFactor float64
	}
)

func (s *server) hasCached(object string) bool {
	return object != "" && slices.Contains(s.cached, object)
}

func (s *server) addToCache(object string, capacity int) {
	if object == "" {
		return
	}
	if i := slices.Index(s.cached, object); i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	}
	s.cached = append(s.cached, object)
	if len(s.cached) > capacity {
		s.cached = s.cached[1:]
	}
}

// serverID returns the ID of the server with an index in a region.
func serverID(region string, index int) string { return region + "-" + strconv.Itoa(index) }
