package steering

import (
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/routing"
)

// A server that had said that it leaves got requests again when the store returned from a copy in
// which it was in use.
func TestEarlierRegistrationDoesNotUndoDraining(t *testing.T) {
	r := newHandoverRun()
	started := r.now.Add(-time.Minute)
	register := func(sequence uint64, draining bool, started time.Time) {
		r.RegisterServer(r.now, routing.Server{ID: "s", Service: "service", Domain: "north-a", Slots: 4, Started: started, Sequence: sequence, Draining: draining})
	}
	register(7, true, started)
	register(5, false, started)
	if !r.servers["s"].Draining {
		t.Error("got the server in use by an earlier registration, want it draining")
	}
	register(8, false, started)
	if r.servers["s"].Draining {
		t.Error("got the server draining after a later registration, want it in use")
	}
	register(1, true, started.Add(time.Second))
	if !r.servers["s"].Draining {
		t.Error("got the registration of a new start ignored, want its sequence to begin anew")
	}
}
