// Package backpressure keeps what backend servers ask of those who send them requests.
//
// A server's answers carry signals. The ledger keeps them by the start of a server, so that
// they outlive its registration and end when it starts again. It does no I/O and reads no
// clock.
package backpressure

import (
	"math"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

const (
	// limitLength bounds the text of a limit, in bytes.
	limitLength = 32
	// limitDigits are what a limit may be written with.
	limitDigits = "0123456789."
)

type (
	// Limit is the rate of requests that a server takes from all proxies together.
	Limit struct {
		// Named is false if the server named no limit.
		Named     bool    `json:"named,omitempty"`
		PerSecond float64 `json:"per-second,omitempty"`
	}

	// Signal is what one answer asks.
	Signal struct {
		Limit Limit `json:"limit,omitzero"`
		// Leaving is set if the server takes no new requests any more.
		Leaving bool `json:"leaving,omitempty"`
	}
)

// None reports whether nothing is asked.
func (s Signal) None() bool { return s == Signal{} }

// ParseLimit reads the limit that an answer names, in requests a second. Of several the
// lowest counts. One that is no decimal number names none, and is told of in the error.
func ParseLimit(values []string) (l Limit, err error) {
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			rate, failed := parseRate(strings.TrimSpace(text))
			if failed != nil {
				err = failed
				continue
			}
			l = l.lower(Limit{Named: true, PerSecond: rate})
		}
	}
	return l, err
}

func parseRate(text string) (float64, error) {
	if len(text) > limitLength || strings.Trim(text, limitDigits) != "" {
		return 0, errors.Errorf("limit %.*q: must be a decimal number of requests a second", limitLength, text)
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(rate, 0) {
		return 0, errors.Errorf("limit %q: must be a decimal number of requests a second", text)
	}
	return rate, nil
}

// lower is the lower one of two limits.
func (l Limit) lower(other Limit) Limit {
	if !l.Named || other.Named && other.PerSecond < l.PerSecond {
		return other
	}
	return l
}

// String is the limit for logs, empty for none.
func (l Limit) String() string {
	if !l.Named {
		return ""
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64) + "/s"
}

// Merge adds what another answer of the same exchange asks.
func (s Signal) Merge(other Signal) Signal {
	return Signal{Limit: s.Limit.lower(other.Limit), Leaving: s.Leaving || other.Leaving}
}
