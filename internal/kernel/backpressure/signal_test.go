package backpressure

import (
	"testing"
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
		if !l.Named && (err == nil || l.PerSecond != 0) {
			t.Errorf("%q: got %+v without an error", text, l)
		}
		if l.Named && !(l.PerSecond >= 0 && l.PerSecond < 1e33) {
			t.Errorf("%q: got %v requests a second", text, l.PerSecond)
		}
	})
}
