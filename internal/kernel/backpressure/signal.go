// Package backpressure keeps what backend servers ask of those who send them requests.
//
// A server's answers carry signals. The ledger keeps them by the start of a server, so that
// they outlive its registration and end when it starts again. It does no I/O and reads no
// clock.
package backpressure

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxDecimalLength bounds the text of a number, in bytes, decimalDigits are what it may be
	// written with.
	maxDecimalLength = 32
	decimalDigits    = "0123456789."
	// maxPause bounds the pause that a server may ask for.
	maxPause = 10 * time.Minute
)

type (
	// Limit is the rate of requests that a server takes from all proxies together.
	Limit struct {
		// Set is false if the server named no limit.
		Set       bool    `json:"named,omitempty"`
		PerSecond float64 `json:"per-second,omitempty"`
	}

	// Signal is what one answer asks.
	Signal struct {
		Limit Limit `json:"limit,omitzero"`
		// Draining is set if the server takes no new requests any more.
		Draining bool `json:"leaving,omitempty"`
		// Pause is for how long the server wants nothing from the proxy that it answers.
		Pause time.Duration `json:"pause,omitempty"`
	}
)

// IsEmpty reports whether nothing is asked.
func (s Signal) IsEmpty() bool { return s == Signal{} }

// ParseLimit reads the limit that an answer names, in requests a second. Of several the
// lowest counts. One that is no decimal number names none, and is told of in the error.
func ParseLimit(values []string) (l Limit, err error) {
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			rate, parseErr := parseRate(strings.TrimSpace(text))
			if parseErr != nil {
				err = parseErr
				continue
			}
			l = l.lower(Limit{Set: true, PerSecond: rate})
		}
	}
	return l, err
}

func parseRate(text string) (float64, error) {
	rate, ok := parseDecimal(text)
	if !ok {
		return 0, errors.Errorf("limit %.*q: must be a decimal number of requests a second", maxDecimalLength, text)
	}
	return rate, nil
}

// ParsePause reads for how long an answer asks for nothing more: seconds, or a date, which
// counts from the moment that the answer was made. Of several the longest counts, up to ten
// minutes. One that can't be read asks for none, and is told of in the error.
func ParsePause(values []string, respondedAt time.Time) (pause time.Duration, err error) {
	for _, value := range values {
		p, parseErr := parsePause(strings.TrimSpace(value), respondedAt)
		if parseErr != nil {
			err = parseErr
			continue
		}
		pause = max(pause, p)
	}
	return pause, err
}

func parsePause(text string, respondedAt time.Time) (time.Duration, error) {
	if seconds, ok := parseDecimal(text); ok {
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), nil
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, errors.Errorf("pause %.*q: must be a number of seconds or a date", len(http.TimeFormat), text)
	}
	return max(0, min(until.Sub(respondedAt), maxPause)), nil
}

// parseDecimal reads a number without sign or exponent.
func parseDecimal(text string) (float64, bool) {
	if len(text) > maxDecimalLength || strings.Trim(text, decimalDigits) != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}

// lower is the lower one of two limits.
func (l Limit) lower(other Limit) Limit {
	if !l.Set || other.Set && other.PerSecond < l.PerSecond {
		return other
	}
	return l
}

// String is the limit for logs, empty for none.
func (l Limit) String() string {
	if !l.Set {
		return ""
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64) + "/s"
}

// Merge adds what another answer of the same exchange asks.
func (s Signal) Merge(other Signal) Signal {
	return Signal{Limit: s.Limit.lower(other.Limit), Draining: s.Draining || other.Draining, Pause: max(s.Pause, other.Pause)}
}
