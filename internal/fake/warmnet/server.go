package warmnet

import (
	"slices"
	"strconv"
)

type (
	server struct {
		id, region string
		// number counts the servers of a region.
		number  int
		running int
		waiting []*request
		// now are the jobs that it runs.
		now    []*request
		recent []string
		gone   bool
		// ended servers refuse connections; starts counts those that took this one's place.
		ended  bool
		starts int
		// slow is the time that it takes, as a part of the load's work.
		slow float64
	}
)

func (s *server) knows(object string) bool { return object != "" && slices.Contains(s.recent, object) }

func (s *server) remember(object string, most int) {
	if object == "" {
		return
	}
	if i := slices.Index(s.recent, object); i >= 0 {
		s.recent = slices.Delete(s.recent, i, i+1)
	}
	s.recent = append(s.recent, object)
	if len(s.recent) > most {
		s.recent = s.recent[1:]
	}
}

// serverID names a server of a region by its number.
func serverID(region string, number int) string { return region + "-" + strconv.Itoa(number) }
