package eviction

import (
	"testing"
	"time"
)

// Guards against closing the connection of a client that behaves instead of one that has stalled.
func TestChoice(t *testing.T) {
	now := time.Unix(1000, 0)
	type state = Connection
	after := func(a Activity, d time.Duration) state { return state{Activity: a, ProgressAt: now.Add(-d)} }
	for name, c := range map[string]struct {
		purpose     Purpose
		connections []state
		want        int
		next        time.Duration
	}{
		"no connection":               {ForConnection, nil, -1, 500 * time.Millisecond},
		"all in progress":             {ForConnection, []state{after(Serving, time.Hour), after(AwaitingHead, 100*time.Millisecond), after(ReadingBody, 100*time.Millisecond)}, -1, 400 * time.Millisecond},
		"head that stalls":            {ForConnection, []state{after(Serving, time.Hour), after(AwaitingHead, 600*time.Millisecond)}, 1, 500 * time.Millisecond},
		"stalled before idle":         {ForConnection, []state{after(Idle, time.Hour), after(AwaitingHead, 600*time.Millisecond)}, 1, 500 * time.Millisecond},
		"stalled after idle":          {ForConnection, []state{after(AwaitingHead, 600*time.Millisecond), after(Idle, time.Hour)}, 0, 500 * time.Millisecond},
		"longest stalled":             {ForConnection, []state{after(ReadingBody, 2*time.Second), after(Writing, 3*time.Second)}, 1, 500 * time.Millisecond},
		"longest idle":                {ForConnection, []state{after(Idle, 2*time.Second), after(Idle, 3*time.Second)}, 1, 500 * time.Millisecond},
		"idle for a moment":           {ForConnection, []state{after(Idle, 900*time.Millisecond)}, -1, 100 * time.Millisecond},
		"closing":                     {ForConnection, []state{after(Closing, 0), after(Serving, time.Hour)}, 0, 500 * time.Millisecond},
		"memory of bodies":            {ForBody, []state{after(AwaitingHead, time.Hour), after(Idle, time.Hour), after(ReadingBody, 2*time.Second)}, 2, 500 * time.Millisecond},
		"no memory in heads and idle": {ForBody, []state{after(AwaitingHead, time.Hour), after(Idle, time.Hour), after(Closing, time.Hour)}, -1, 500 * time.Millisecond},
		"memory of heads":             {ForHead, []state{after(Idle, time.Hour), after(AwaitingHead, time.Second)}, 1, 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			choice := NewChoice[int](now, Patience{Head: 500 * time.Millisecond, Body: time.Second, Idle: time.Second}, c.purpose)
			for i, s := range c.connections {
				choice.Consider(i, s)
			}
			got, found, next := choice.Best()
			if !found {
				got = -1
			}
			if got != c.want || next != c.next {
				t.Errorf("got connection %d, next in %s, want %d, %s", got, next, c.want, c.next)
			}
		})
	}
}
