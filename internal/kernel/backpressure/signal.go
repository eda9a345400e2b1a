// Package backpressure tracks the rate limits, drain notices and pauses that backend servers
// request of the proxies.
//
// Responses of servers carry these signals. A Tracker keeps them per run of a server process, so
// that they outlive the server's registration and end when the server restarts. The package does no
// I/O and does not read the clock.
package backpressure

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxDecimalLength bounds the length of a number in bytes, decimalDigits are its permitted
	// characters.
	maxDecimalLength = 32
	decimalDigits    = "0123456789."
	// maxPause bounds the pause that a server may request.
	maxPause = 10 * time.Minute
)

type (
	// Limit is the rate of requests that a server accepts from all proxies together.
	Limit struct {
		// Set is false if the server advertises no limit.
		Set       bool    `json:"named,omitempty"`
		PerSecond float64 `json:"per-second,omitempty"`
	}

	// Signal holds the backpressure signals of one response.
	Signal struct {
		Limit Limit `json:"limit,omitzero"`
		// Draining is set if the server accepts no new requests.
		Draining bool `json:"leaving,omitempty"`
		// Pause is how long the proxy that receives the response is to send nothing to the server.
		Pause time.Duration `json:"pause,omitempty"`
	}
)

// IsEmpty reports whether the signal requests nothing.
func (s Signal) IsEmpty() bool { return s == Signal{} }

// ParseLimit parses the values of a rate limit header, in requests per second. The lowest of
// several limits applies. A value that is not a decimal number is ignored and reported in the
// error.
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
		return 0, errors.Errorf("limit %.*q: must be a decimal number of requests per second", maxDecimalLength, text)
	}
	return rate, nil
}

// ParsePause parses the values of a retry header: a number of seconds, or a date that is taken
// relative to the time of the response. The longest of several pauses applies, up to ten minutes.
// An invalid value is ignored and reported in the error.
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

// parseDecimal parses a number without sign or exponent.
func parseDecimal(text string) (float64, bool) {
	if len(text) > maxDecimalLength || strings.Trim(text, decimalDigits) != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}

// lower returns the lower of two limits.
func (l Limit) lower(other Limit) Limit {
	if !l.Set || other.Set && other.PerSecond < l.PerSecond {
		return other
	}
	return l
}

// String returns the limit for logs, empty if there is none.
func (l Limit) String() string {
	if !l.Set {
		return ""
	}
	return strconv.FormatFloat(l.PerSecond, 'f', -1, 64) + "/s"
}

// Merge adds the signals of another response in the same exchange.
func (s Signal) Merge(other Signal) Signal {
	return Signal{Limit: s.Limit.lower(other.Limit), Draining: s.Draining || other.Draining, Pause: max(s.Pause, other.Pause)}
}
