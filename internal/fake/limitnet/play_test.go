package limitnet

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip()
	}
	base := Load{Regions: 3, Proxies: 77, Accounts: 81, Rate: 2000, Skew: 0.7, Clients: 1000, Headroom: 1.6, For: 15 * time.Second}
	loads := map[string]Load{"1 calm": base}
	l := base
	l.Hot = 6
	loads["2 hot"] = l
	l = base
	l.Cut = .3
	loads["3 cut"] = l
	l = base
	l.Killed = 1
	l.Down = 600 * time.Millisecond
	loads["4 killed all"] = l
	l = base
	l.Killed = .3
	l.Down = time.Second
	l.Hot = 4
	l.Cut = .3
	loads["5 all"] = l
	l = base
	l.Lowered = 4
	loads["6 lowered"] = l
	l = base
	l.Headroom = 1.05
	loads["7 at the limit"] = l
	l = base
	l.Proxies = 10
	l.Rate = 300
	loads["8 ten"] = l
	for _, name := range []string{"1 calm", "2 hot", "3 cut", "4 killed all", "5 all", "6 lowered", "7 at the limit", "8 ten"} {
		for _, way := range []Way{Pools, Even, Owner} {
			o := Play(loads[name], way, 1)
			fmt.Printf("%-16s %-6s first %.4f refused %.4f excess %.2f broken %.2f reports %.1f asks %.1f\n", name, way, o.RefusedAtFirstShare(), o.RefusedShare(), o.Excess, o.Broken, o.Reports, o.Asks)
		}
	}
}
