package backpressure

import (
	"testing"
	"time"
)

func TestParseLimit(t *testing.T) {
	for _, c := range []struct {
		values []string
		want   Limit
		fails  bool
	}{
		{nil, Limit{}, false},
		{[]string{"6.6"}, Limit{true, 6.6}, false},
		{[]string{" 12 "}, Limit{true, 12}, false},
		{[]string{"0"}, Limit{true, 0}, false},
		{[]string{".5"}, Limit{true, 0.5}, false},
		{[]string{"8", "3.5"}, Limit{true, 3.5}, false},
		{[]string{"8, 2"}, Limit{true, 2}, false},
		{[]string{"8, none"}, Limit{true, 8}, true},
		{[]string{""}, Limit{}, true},
		{[]string{"-1"}, Limit{}, true},
		{[]string{"+1"}, Limit{}, true},
		{[]string{"NaN"}, Limit{}, true},
		{[]string{"Inf"}, Limit{}, true},
		{[]string{"1e3"}, Limit{}, true},
		{[]string{"0x10"}, Limit{}, true},
		{[]string{"1.2.3"}, Limit{}, true},
		{[]string{"99999999999999999999999999999999999"}, Limit{}, true},
	} {
		got, err := ParseLimit(c.values)
		if got != c.want || (err != nil) != c.fails {
			t.Errorf("%q: got %+v and error %v, want %+v and an error %t", c.values, got, err, c.want, c.fails)
		}
	}
}

func FuzzParseLimit(f *testing.F) {
	for _, seed := range []string{"6.6", "0", "-1", "1,2", "..", "1e9", "\x00", "999999999999999999999999"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		l, err := ParseLimit([]string{text})
		if !l.Set && (err == nil || l.PerSecond != 0) {
			t.Errorf("%q: got %+v without an error", text, l)
		}
		if l.Set && !(l.PerSecond >= 0 && l.PerSecond < 1e33) {
			t.Errorf("%q: got %v requests per second", text, l.PerSecond)
		}
	})
}

func TestParsePause(t *testing.T) {
	respondedAt := time.Date(2026, 5, 4, 15, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		values []string
		want   time.Duration
		fails  bool
	}{
		{nil, 0, false},
		{[]string{"3"}, 3 * time.Second, false},
		{[]string{"0.25"}, 250 * time.Millisecond, false},
		{[]string{"0"}, 0, false},
		{[]string{"1", "2.5"}, 2500 * time.Millisecond, false},
		{[]string{"Mon, 04 May 2026 15:00:07 GMT"}, 7 * time.Second, false},
		{[]string{"Mon, 04 May 2026 14:00:00 GMT"}, 0, false},
		{[]string{"Mon, 04 May 2099 15:00:00 GMT"}, maxPause, false},
		{[]string{"999999999999999999999"}, maxPause, false},
		{[]string{"-3"}, 0, true},
		{[]string{"soon", "1"}, time.Second, true},
		{[]string{"1, 2"}, 0, true},
		{[]string{"NaN"}, 0, true},
		{[]string{""}, 0, true},
	} {
		got, err := ParsePause(c.values, respondedAt)
		if got != c.want || (err != nil) != c.fails {
			t.Errorf("%q: got %s and error %v, want %s and an error %t", c.values, got, err, c.want, c.fails)
		}
	}
}

func FuzzParsePause(f *testing.F) {
	for _, seed := range []string{"3", "-1", "Mon, 04 May 2026 15:00:07 GMT", "1e9", "9999999999999999999999", "\xff"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		pause, err := ParsePause([]string{text}, time.Unix(1_000_000, 0))
		if pause < 0 || pause > maxPause || err != nil && pause != 0 {
			t.Errorf("%q: got %s and error %v", text, pause, err)
		}
	})
}
