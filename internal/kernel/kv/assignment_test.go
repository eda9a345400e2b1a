package kv

import (
	"fmt"
	"testing"
)

// TestSharesSumToCapacity guards against rounding errors in the shares: if their sum exceeded the
// capacity of a region, the region could admit more requests than that. It covers several fleet
// sizes and distributions of slots over regions.
func TestSharesSumToCapacity(t *testing.T) {
	for _, slots := range [][]int{{4, 3, 3}, {1, 0, 0}, {0, 2, 5}, {59, 59, 60, 58, 59, 59}, {10}} {
		c := Capacities{}
		for i, n := range slots {
			c.Regions = append(c.Regions, RegionCapacity{Name: fmt.Sprint("r", i), Capacity: 2750 + i, Slots: n})
			c.Links = append(c.Links, LinkCapacity{From: fmt.Sprint("r", i), To: "r0", Limit: 601})
		}
		for _, r := range c.Regions {
			regionSum, linkSum := 0, 0
			for slot := range c.slots() {
				regionSum += c.RegionShare(r.Name, slot)
				share, _ := c.LinkShare(r.Name, "r0", slot)
				linkSum += share
			}
			if got, want := regionSum, r.Capacity; got != want {
				t.Errorf("slots %v, region %s: got shares of %d, want %d", slots, r.Name, got, want)
			}
			if want := min(601, 601*r.Slots); linkSum != want {
				t.Errorf("slots %v, link from %s: got shares of %d, want %d", slots, r.Name, linkSum, want)
			}
		}
	}
}

func ExampleCapacities_RegionShare() {
	c := Capacities{Regions: []RegionCapacity{{Name: "north", Capacity: 800, Slots: 2}, {Name: "south", Capacity: 800, Slots: 2}}}
	fmt.Println(c.RegionShare("north", 0), c.RegionShare("north", 1), c.RegionShare("north", 2), c.RegionShare("north", 3))
	// Output: 350 350 50 50
}
