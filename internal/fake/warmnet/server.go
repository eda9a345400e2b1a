package warmnet

import (
	"slices"
	"strconv"
)

type (
	server struct {
		id, region string
		// index counts the servers of a region.
		index   int
		running int
		queue   []*request
		// activeRequests are the jobs that it runs.
		activeRequests []*request
		cached         []string
		removed        bool
		// crashed servers refuse connections; starts counts those that took this one's place.
		crashed  bool
		restarts int
		// serviceTimeFactor is the time that it takes, as a part of the load's work.
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

// serverID names a server of a region by its number.
func serverID(region string, number int) string { return region + "-" + strconv.Itoa(number) }
