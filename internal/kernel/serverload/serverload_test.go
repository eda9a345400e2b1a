package serverload

import (
	"testing"
	"time"
)

// A figure that is out of range must not hide the others, and must not be believed.
func TestParse(t *testing.T) {
	for text, want := range map[string]Report{
		"3,2,4,250":             {3, 2, 4, 250},
		" 3 , 2 , 4 , 100 ":     {3, 2, 4, 100},
		"0,0":                   {0, 0, 0, 0},
		"3,2,4":                 {3, 2, 4, 0},
		"3,2,4,250,7,x":         {3, 2, 4, 250},
		"3,2,0,250":             {3, 2, 0, 250},
		"3,2,-4,250":            {3, 2, 0, 250},
		"3,2,1000000000,250":    {3, 2, 0, 250},
		"3,2,,250":              {3, 2, 0, 250},
		"3,2,4,0":               {3, 2, 4, 0},
		"3,2,4,-1":              {3, 2, 4, 0},
		"3,2,4,1000000000":      {3, 2, 4, 0},
		"3,2,4,2.5":             {3, 2, 4, 0},
		"3,2,4,250;extra":       {3, 2, 4, 0},
		"100000,100000,1,10":    {100_000, 100_000, 1, 10},
		"100000,100000,1,2000":  {100_000, 100_000, 1, 2000},
		"100000,100000,1,2001":  {100_000, 100_000, 1, 0},
		"3,2,4,999999999999999": {3, 2, 4, 0},
	} {
		if got, ok := Parse(text); got != want || !ok {
			t.Errorf("%q: got %+v, %t; want %+v, true", text, got, ok, want)
		}
	}
	for _, text := range []string{"", "3", "3,", ",2", "-1,2", "3,-2", "3.5,2", "1000000000,2", "3,1000000000", "many,2", "3;2"} {
		if got, ok := Parse(text); got != (Report{}) || ok {
			t.Errorf("%q: got %+v, %t; want no report", text, got, ok)
		}
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{"3,2,4,250", "3,2", "-1,0,0,0", "1e9,1000000000,1.5,2.5", "1,2,3,4,5,6", ",,,", "\x00"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r, ok := Parse(text)
		inRange := min(r.Running, r.Waiting, r.Slots, r.WorkPercent) >= 0 && max(r.Running, r.Waiting, r.Slots) <= maxCount
		if !inRange || r.Factor() < MinFactor || r.Factor() > MaxFactor || !ok && r != (Report{}) {
			t.Errorf("%q: got %+v, %t", text, r, ok)
		}
	})
}

// A server that is avoided because it was slow sends no new report. It must be tried again.
func TestStateDecays(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var s State
	if got := s.Factor(start); got != 1 || s.Slots(start, 3) != 3 {
		t.Errorf("without a report: got factor %v and %d slots, want 1 and 3", got, s.Slots(start, 3))
	}
	s.Record(start, Report{Slots: 8, WorkPercent: 300})
	for age, want := range map[time.Duration]float64{0: 3, TTL / 4: 2.5, TTL / 2: 2, TTL: 1, time.Hour: 1} {
		if got := s.Factor(start.Add(age)); got != want {
			t.Errorf("factor after %v: got %v, want %v", age, got, want)
		}
	}
	if got, old := s.Slots(start.Add(TTL/2), 3), s.Slots(start.Add(TTL), 3); got != 8 || old != 3 {
		t.Errorf("got %d slots while the report is fresh and %d later, want 8 and 3", got, old)
	}
	if !s.ReportsSpeed() {
		t.Error("after a report of the speed: it is not known that the server reports it")
	}
	s.Record(start, Report{Running: 1})
	if got := s.Factor(start); got != 1 || s.Slots(start, 3) != 3 || s.ReportsSpeed() {
		t.Errorf("after a report without them: got factor %v and %d slots, want 1 and 3", got, s.Slots(start, 3))
	}
}

func TestUnexplained(t *testing.T) {
	for _, c := range []struct{ ratio, before, after, want float64 }{
		{1.2, 1, 1, 1.2}, {0.8, 1, 1, 0.8}, {2.5, 2.5, 2.5, 1}, {5, 2.5, 2.5, 2}, {1.7, 2.5, 1, 1}, {1.7, 1, 2.5, 1}, {0.5, 1, 2.5, 0.5}, {1, 2, 2, 0.5},
	} {
		if got := Unexplained(c.ratio, c.before, c.after); got != c.want {
			t.Errorf("Unexplained(%v, %v, %v): got %v, want %v", c.ratio, c.before, c.after, got, c.want)
		}
	}
}
