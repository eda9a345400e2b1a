package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// maxLineBytes limits the length of a log line; the longest lines of proxies are about 2 KB.
	maxLineBytes = 1 << 20
	// omittedMessage marks the log line with the counts of requests that were not logged one by
	// one.
	omittedMessage = "requests left out of the log"
)

type (
	// logLine holds the fields of a proxy's log line that are evaluated.
	logLine struct {
		Time    time.Time      `json:"time"`
		Message string         `json:"msg"`
		Region  string         `json:"vm-region"`
		Request string         `json:"request"`
		Route   string         `json:"route"`
		Outcome string         `json:"outcome"`
		Reason  string         `json:"reason"`
		Cause   string         `json:"cause"`
		State   string         `json:"server-state"`
		Took    string         `json:"took"`
		Target  string         `json:"target"`
		Counts  map[string]int `json:"counts"`
	}
)

// Read counts the losses in a proxy log. It ignores lines without a JSON object, messages other
// than the two about requests, and any prefix that a log collector puts before the object. Lines
// that cannot be parsed, such as truncated ones, are counted in skipped.
func (c *Counter) Read(log io.Reader) (skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var entry logLine
		if err := json.Unmarshal(scanner.Bytes()[start:], &entry); err != nil {
			skipped++
			continue
		}
		switch entry.Message {
		case string(steering.EventRequestEnded):
			c.Add(entry.endedRequest())
		case omittedMessage:
			c.AddOmitted(entry.Time, entry.Region, entry.Counts)
		}
	}
	return skipped, errs.Wrap(scanner.Err(), "read log")
}

func (l logLine) endedRequest() EndedRequest {
	return EndedRequest{
		At: l.Time, Request: l.Request, Route: l.Route, Region: l.Region, Outcome: l.Outcome, Reason: l.Reason,
		Cause: l.Cause, State: l.State, Took: ParseDuration(l.Took), Target: ParseDuration(l.Target),
	}
}

// ParseDuration parses a duration from a log; a missing or invalid one is zero.
func ParseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0
	}
	return d
}
