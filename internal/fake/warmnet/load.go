// Package warmnet plays loads against steering kernels in virtual time:
// proxies in several regions, backend servers that remember the objects they
// handled lately and do their work faster, queues, and the way between them.
// It measures what callers get. There is no network and no clock.
package warmnet

import (
	"encoding/json"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	// Load is what is played.
	Load struct {
		Regions []Region `json:"regions"`
		// Proxies in each region, Slots and Queue of each server.
		Proxies int `json:"proxies"`
		Slots   int `json:"slots"`
		Queue   int `json:"queue"`
		// Objects that each region's callers ask for, and how many a server
		// remembers.
		Objects  int `json:"objects"`
		Remember int `json:"remember"`
		// Skew is by how much an object is asked for more often than the next ones:
		// the n-th as often as n to the power of -Skew; zero for all alike.
		Skew float64 `json:"skew"`
		// Work on a server that does not know the object, and the share of it
		// that is left on one that does.
		Work      operator.Duration `json:"work"`
		WarmShare float64           `json:"warm-share"`
		RoundTrip operator.Duration `json:"round-trip"`
		Target    operator.Duration `json:"target"`
		Timeout   operator.Duration `json:"timeout"`
		Span      operator.Duration `json:"span"`
		// RefuseShare of requests are refused by chance although slots are
		// free, between the two moments.
		RefuseShare float64           `json:"refuse-share"`
		RefuseFrom  operator.Duration `json:"refuse-from"`
		RefuseTo    operator.Duration `json:"refuse-to"`
		// Returns is how often a refused caller comes back when it was told to.
		Returns int `json:"returns"`
		// Swing is how far each region's rate moves up and down, as a part of it,
		// once in each Period; the regions follow each other evenly.
		Swing  float64           `json:"swing"`
		Period operator.Duration `json:"period"`
		// Calm is how long half the rate is asked at first.
		Calm operator.Duration `json:"calm"`
		// Speeds are the times that servers take, as parts of Work, dealt out in
		// turn; none for servers that are alike.
		Speeds []float64 `json:"speeds"`
		// Spread is the standard deviation of the logarithm of the work; zero for
		// work that varies evenly by a little.
		Spread float64 `json:"spread"`
		// SlowBy is how many times as long some servers of each region take between
		// the two moments: the first SlowServers, one if that is zero.
		SlowBy      float64           `json:"slow-by"`
		SlowServers int               `json:"slow-servers"`
		SlowFrom    operator.Duration `json:"slow-from"`
		SlowTo      operator.Duration `json:"slow-to"`
		// Knee is the part of its slots beyond which a server slows down: work that
		// begins with more running takes KneeTimes as long. Zero for no knee.
		Knee      float64 `json:"knee"`
		KneeTimes float64 `json:"knee-times"`
		// Mute servers don't tell their load.
		Mute bool `json:"mute"`
		// Anonymous requests name no object.
		Anonymous bool `json:"anonymous"`
		// Connections that a server accepts from all proxies; zero for no bound.
		Connections int `json:"connections"`
		// Plain routes promise nothing of servers that know an object; WarmShare
		// should be 1 then.
		Plain bool `json:"plain"`
		// Bound is the part of all requests whose accounts may be served in the region
		// BoundTo only, in tenths.
		Bound   float64 `json:"bound"`
		BoundTo string  `json:"bound-to"`
		// Off lists the mechanisms that the proxies do without.
		Off []steering.Mechanism `json:"off"`
		// Leave is when one server of each region leaves; zero for never.
		Leave operator.Duration `json:"leave"`
		// Release replaces servers one after the other.
		Release *Release `json:"release"`
		// Away servers of a region refuse connections for a while and have forgotten
		// all objects when they are back.
		Away *Episode `json:"away"`
		// Surge is when a region's callers ask more.
		Surge *Episode `json:"surge"`
		// Stranded regions lose all their proxies at StrandAt, for good. Their
		// callers ask proxies of the other regions from then on.
		Stranded []string          `json:"stranded"`
		StrandAt operator.Duration `json:"strand-at"`
		// Deadly work ends servers, Storm has them end by themselves; Back is after how
		// long others take their places, cold and with new ids.
		Deadly *Deadly           `json:"deadly"`
		Storm  *Storm            `json:"storm"`
		Back   operator.Duration `json:"back"`
		// Limited servers name a limit for a while.
		Limited []Limited `json:"limited"`
		// Leaving servers say so in their answers from a moment on, and are gone at
		// another. Their registrations don't tell; they run out in between and are back.
		Leaving []Episode `json:"leaving"`
		// Pausing servers refuse all requests for a while and ask for a pause with each
		// refusal.
		Pausing []Pausing `json:"pausing"`
		// EndsToCondemn is from how many ends on proxies refuse work; zero for as many
		// as they do without being told.
		EndsToCondemn int `json:"ends-to-condemn"`
	}

	// Episode is a time in which something is otherwise in one region.
	Episode struct {
		Region string `json:"region"`
		// Servers concerned, from the first on.
		Servers int `json:"servers"`
		// Times is by how much more is asked.
		Times float64           `json:"times"`
		From  operator.Duration `json:"from"`
		To    operator.Duration `json:"to"`
	}

	// Release is the replacement of the first servers of each region by new ones, which
	// know no object.
	Release struct {
		Servers int               `json:"servers"`
		From    operator.Duration `json:"from"`
		// Gap is the time from one to the next.
		Gap operator.Duration `json:"gap"`
	}

	// Region has callers and servers.
	Region struct {
		Name      string  `json:"name"`
		Servers   int     `json:"servers"`
		PerSecond float64 `json:"requests-per-second"`
	}

	// Outcome is what callers got.
	Outcome struct {
		Asked, InTarget, Late, Refused, Failed int
		// First counts runs on a server that did not know the object.
		First int
		// ByRegion is the share answered within the target.
		ByRegion map[string]float64
		// Shifted is the largest part of a region's requests that were sent to another
		// region than those of the window before.
		Shifted float64
		Ends    Ends
		Limits  Limits
		Leaving Leaving
		Pauses  Pauses
		Times   []time.Duration
	}
)

// ReadLoad reads a load from a file.
func ReadLoad(path string) (Load, error) {
	var l Load
	data, err := os.ReadFile(path)
	if err != nil {
		return l, errors.Wrap(err, "load")
	}
	if err := json.Unmarshal(data, &l); err != nil {
		return l, errors.Wrap(err, path)
	}
	return l, nil
}

// in reports whether a moment falls into the episode, for a region.
func (e *Episode) in(region string, now time.Duration) bool {
	return e != nil && e.Region == region && now >= e.From.Std() && now < e.To.Std()
}

// strikes reports whether a server is one of those concerned now.
func (e *Episode) strikes(s *server, now time.Duration) bool {
	return e.in(s.region, now) && s.number < e.Servers
}

// even reports whether the rate stays the same all the time.
func (l Load) even() bool { return l.Swing == 0 && l.Calm == 0 && l.Surge == nil }

// Share is the part of the requests answered within the target.
func (o Outcome) Share() float64 { return float64(o.InTarget) / float64(max(1, o.Asked)) }

// Worst is the smallest part of any region.
func (o Outcome) Worst() float64 {
	worst := 1.0
	for _, share := range o.ByRegion {
		worst = min(worst, share)
	}
	return worst
}
