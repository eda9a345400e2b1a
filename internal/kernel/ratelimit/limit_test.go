package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// An account with a burst of one request must be served: three thirds of a token, rounded down,
// add up to less than one.
func TestEqualSharesOfSmallBurstAddUpToOneToken(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := Limit{PerSecond: 100, Burst: 1}.WithOverage(Overage{})
	for _, holders := range []int{1, 3, 7, 77, 1300} {
		var b Bucket
		share := EqualShare(holders) * Share(holders)
		b.Refill(now, l, share)
		b.Refill(now.Add(time.Second), l, share)
		if !b.Take() {
			t.Errorf("%d equal shares: no token, want one", holders)
		}
	}
}

// A share that grows must not add tokens that its previous holder may have used, and a share that
// shrinks must not keep the tokens of the larger one.
func TestMovingSharesAddsNoTokens(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := Limit{PerSecond: 10, Burst: 10}
	var b Bucket
	b.Refill(now, l, FullShare/10)
	b.Refill(now.Add(time.Minute), l, FullShare)
	if b.tokens > 1 {
		t.Errorf("%.1f tokens when the share has grown, want at most the 1 from before", b.tokens)
	}
	b.Refill(now.Add(2*time.Minute), l, FullShare)
	b.Refill(now.Add(2*time.Minute), l, FullShare/10)
	if b.tokens > 1 {
		t.Errorf("%.1f tokens when the share has shrunk, want at most the 1 that it allows", b.tokens)
	}
}

func ExampleLimit_WithOverage() {
	l := Limit{PerSecond: 100, Burst: 100}.WithOverage(Overage{Window: 5 * time.Second, Ratio: 0.1, Requests: 20})
	fmt.Println(l.PerSecond, l.Burst)
	// Output: 105 115
}
