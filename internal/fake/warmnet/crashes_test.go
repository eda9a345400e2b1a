package warmnet

import (
	"testing"
	"time"
)

const (
	// quarantinePropagationBound is the operators' bound on the time until all proxies know of a
	// crashing request. crashesToDetect and maxLateCrashes are their bounds on the servers that it
	// may crash before and after that.
	quarantinePropagationBound = 4 * time.Second
	crashesToDetect            = 3
	maxLateCrashes             = 3
)

func simulateCrashes(t *testing.T, file string, change func(*Scenario)) Result {
	t.Helper()
	scenario, err := ReadScenario("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&scenario)
	}
	return Simulate(scenario, "homes", 1)
}

// lateCrashes counts the servers that a request crashed after all proxies should have known of it.
func lateCrashes(crashes []time.Duration) (n int) {
	if len(crashes) < crashesToDetect {
		return 0
	}
	for _, at := range crashes {
		if at > crashes[crashesToDetect-1]+quarantinePropagationBound {
			n++
		}
	}
	return n
}

// A caller sends a request that crashes its server three times a second, to proxies of all regions,
// which keeps the service at half its capacity. Guards against proxies that never quarantine it
// because each of them sees only one or two of the crashes.
func TestCrashingRequestsCrashFewServers(t *testing.T) {
	for _, file := range []string{"deadly.json", "deadly-flood.json"} {
		o := simulateCrashes(t, file, func(l *Scenario) {
			if l.CrashingRequests.Count > 1 {
				l.ProxiesPerRegion, l.Duration = 3, l.Duration/2
			}
		})
		t.Logf("%s: %d servers crashed, %d rejections of harmless requests", file, o.Crashes.Servers, o.Crashes.HarmlessRejected)
		for name, crashes := range o.Crashes.ByCrashingRequest {
			if n := lateCrashes(crashes); n > maxLateCrashes {
				t.Errorf("%s: %s crashed %d servers after the propagation bound, want at most %d: %v", file, name, n, maxLateCrashes, crashes)
			}
		}
		if n := len(o.Crashes.HarmlessQuarantined); n > 0 {
			t.Errorf("%s: %d harmless requests were quarantined with the crashing ones, want none", file, n)
		}
	}
}

// Three of twelve servers crash within two seconds for reasons of their own, with all requests on
// them. Requests for the most popular objects are interrupted again and again, and requests for
// rare ones are retried by callers whose first server has crashed. Guards against the quarantine of
// such requests.
func TestRandomCrashesQuarantineNothing(t *testing.T) {
	for _, skew := range []float64{0.8, 1.2} {
		o := simulateCrashes(t, "storm.json", func(l *Scenario) { l.Skew = skew })
		without := simulateCrashes(t, "storm.json", func(l *Scenario) { l.Skew, l.MechanismsOff = skew, append(l.MechanismsOff, "quarantine") })
		t.Logf("skew %.1f: %d servers crashed, %d rejections, %.3f within the target, %.3f without the quarantine", skew, o.Crashes.Servers, o.Crashes.HarmlessRejected, o.ShareWithinTarget(), without.ShareWithinTarget())
		if n := len(o.Crashes.HarmlessQuarantined); n > 0 {
			t.Errorf("skew %.1f: %d harmless requests were quarantined, want none", skew, n)
		}
		if loss := without.ShareWithinTarget() - o.ShareWithinTarget(); loss > 0.03 {
			t.Errorf("skew %.1f: the quarantine costs %.3f of the requests answered in time, want at most 0.03", skew, loss)
		}
	}
}
