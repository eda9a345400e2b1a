package warmnet

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// hedgeSeeds is the number of simulations whose results are added up.
	hedgeSeeds = 4
)

// slowRunsAt returns the scenario of slow runs with a demand that is a fraction of the capacity of
// warm servers.
func slowRunsAt(t *testing.T, fraction float64) Scenario {
	scenario := readScenario(t, "slow-runs")
	meanWork := scenario.ServiceTime.Std().Seconds() * scenario.WarmFactor * (1 + scenario.SlowRuns.Share*(scenario.SlowRuns.Factor-1))
	servers := 0
	for _, r := range scenario.Regions {
		servers += r.Servers
	}
	for i := range scenario.Regions {
		scenario.Regions[i].PerSecond = fraction * float64(servers*scenario.SlotsPerServer) / meanWork / float64(len(scenario.Regions))
	}
	return scenario
}

// hedgingTotals adds up the results of a few simulations.
func hedgingTotals(scenario Scenario, off ...steering.Mechanism) (total Result) {
	scenario.MechanismsOff = off
	for seed := range uint64(hedgeSeeds) {
		o := Simulate(scenario, steering.DefaultPlacer, seed+1)
		total.Sent += o.Sent
		total.WithinTarget += o.WithinTarget
		total.Late += o.Late
		total.Rejected += o.Rejected
		total.Failed += o.Failed
		total.Hedges.Sent += o.Hedges.Sent
		total.Hedges.Won += o.Hedges.Won
		total.Hedges.ColdRuns += o.Hedges.ColdRuns
		total.MaxRegionShift = max(total.MaxRegionShift, o.MaxRegionShift)
	}
	return total
}

// Three runs in a hundred take seven times as long as usual, and a second run mostly takes the
// usual time. Guards against a proxy that waits for such runs, against hedges that miss them
// because the budget went to runs that are not slow, and at the servers' capacity against second
// runs that cost others their place.
func TestHedgesHalveLateResponsesOfSlowRuns(t *testing.T) {
	for _, c := range []struct {
		load, maxLateRatio, maxHedgeShare float64
	}{
		{0.5, 0.5, 0.05}, {0.8, 0.5, 0.05}, {1, 1, 0.02},
	} {
		scenario := slowRunsAt(t, c.load)
		with, without := hedgingTotals(scenario), hedgingTotals(scenario, steering.MechanismHedging)
		late, lateWithout := float64(with.Late)/float64(with.Sent), float64(without.Late)/float64(without.Sent)
		t.Logf("load %.1f: late %.4f, without hedges %.4f; rejected %d, without hedges %d; %d requests, hedges %+v", c.load, late, lateWithout, with.Rejected, without.Rejected, with.Sent, with.Hedges)
		if late > c.maxLateRatio*lateWithout {
			t.Errorf("load %.1f: %.4f of the responses are late, want at most %.1f of the %.4f without hedges", c.load, late, c.maxLateRatio, lateWithout)
		}
		if with.ShareWithinTarget() < without.ShareWithinTarget() {
			t.Errorf("load %.1f: %.4f within the target, want at least the %.4f without hedges", c.load, with.ShareWithinTarget(), without.ShareWithinTarget())
		}
		if share := float64(with.Hedges.Sent) / float64(with.Sent); share > c.maxHedgeShare || without.Hedges.Sent > 0 {
			t.Errorf("load %.1f: %.4f of the requests were hedged, want at most %.3f, and none without hedges", c.load, share, c.maxHedgeShare)
		}
		if with.Hedges.ColdRuns > with.Hedges.Sent/200 || with.MaxRegionShift > 0.15 {
			t.Errorf("load %.1f: %d of %d hedges ran cold, and %.2f of a region's requests moved; want at most 1 in 200 and 0.15", c.load, with.Hedges.ColdRuns, with.Hedges.Sent, with.MaxRegionShift)
		}
	}
}

// Many servers, of which each proxy seldom has a fresh report: 15% of them take 2.5 times as long
// for 600 ms at a time, and three runs in a hundred take seven times as long. Guards against slow
// servers that make the proxies wait too long for any hedge to be in time: 0.0016 of the requests
// were hedged then.
func TestHedgesBesideSlowServers(t *testing.T) {
	for _, c := range []struct {
		load, minHedgeShare, minWonShare float64
	}{
		{1, 0.025, 0.006}, {1.7, 0.025, 0.004},
	} {
		// At load 1, nearly half of the slots are in use.
		scenario := readScenario(t, "slow-runs-and-servers")
		for i := range scenario.Regions {
			scenario.Regions[i].PerSecond *= c.load
		}
		with, without := hedgingTotals(scenario), hedgingTotals(scenario, steering.MechanismHedging)
		late, lateWithout := float64(with.Late)/float64(with.Sent), float64(without.Late)/float64(without.Sent)
		hedged, won := float64(with.Hedges.Sent)/float64(with.Sent), float64(with.Hedges.Won)/float64(with.Sent)
		t.Logf("load %.1f: %.4f of the requests hedged, %.4f won; late %.4f, without hedges %.4f; within the target %.4f, without hedges %.4f", c.load, hedged, won, late, lateWithout, with.ShareWithinTarget(), without.ShareWithinTarget())
		if hedged < c.minHedgeShare || hedged > 0.05 || won < c.minWonShare || with.Hedges.ColdRuns > with.Hedges.Sent/200 {
			t.Errorf("load %.1f: %.4f of the requests were hedged and %.4f won, want %.3f to 0.05 and at least %.3f; %d of %d hedges ran cold", c.load, hedged, won, c.minHedgeShare, c.minWonShare, with.Hedges.ColdRuns, with.Hedges.Sent)
		}
		if late >= lateWithout || with.ShareWithinTarget() <= without.ShareWithinTarget() {
			t.Errorf("load %.1f: %.4f late and %.4f within the target, want better than %.4f and %.4f without hedges", c.load, late, with.ShareWithinTarget(), lateWithout, without.ShareWithinTarget())
		}
	}
}

// Guards against hedges that a replay decides differently, or whose ends it assigns to the wrong
// attempt; against recordings of earlier versions, which have none, that differ in a replay; and
// against a replay that does not report hedges that another version does not send.
func TestReplayComparesHedges(t *testing.T) {
	off := []steering.Mechanism{steering.MechanismHedging}
	for name, c := range map[string]struct {
		recordedOff, replayedOff []steering.Mechanism
		wantDifferences          bool
	}{
		"hedges": {}, "earlier version": {recordedOff: off}, "version without hedges": {replayedOff: off, wantDifferences: true},
	} {
		var recording bytes.Buffer
		hedges := 0
		encoder, scenario := json.NewEncoder(&recording), slowRunsAt(t, 0.8)
		scenario.MechanismsOff = c.recordedOff
		simulate(scenario, steering.DefaultPlacer, 1, func(call steering.Call) {
			if call.Method == "begin-hedge" && call.Decision.Server != "" {
				hedges++
			}
			if call.Config != nil {
				config := *call.Config
				config.Off = c.replayedOff
				call.Config = &config
			}
			if err := encoder.Encode(call); err != nil {
				t.Fatal(err)
			}
		})
		if (hedges > 0) == (c.recordedOff != nil) {
			t.Errorf("%s: %d hedges recorded", name, hedges)
		}
		got, err := steering.ReplayCalls(&recording, "")
		if err != nil || (got.DifferenceCount > 0) != c.wantDifferences || got.Decisions < 1000 {
			t.Errorf("%s: %d of %d decisions differ, error %v; want differences %t: %+v", name, got.DifferenceCount, got.Decisions, err, c.wantDifferences, got.Differences)
		}
		if c.wantDifferences && got.DifferenceCount < hedges {
			t.Errorf("%s: %d decisions differ, want at least the %d hedges", name, got.DifferenceCount, hedges)
		}
	}
}
