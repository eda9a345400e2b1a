package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an account whose burst is one request and that is never served: a third of
// it three times is less than one.
func TestPartsOfASmallBurstAddUpToARequest(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := Limit{PerSecond: 100, Burst: 1}.With(Allowance{})
	for _, holders := range []int{1, 3, 7, 77, 1300} {
		var b Bucket
		share := Part(holders) * Share(holders)
		b.Fill(now, l, share)
		b.Fill(now.Add(time.Second), l, share)
		if !b.Take() {
			t.Errorf("%d parts: no token, want one", holders)
		}
	}
}

// Guards against a share that grows and brings tokens which its former holder has used, and
// one that shrinks and keeps them.
func TestSharesThatMoveBringNoTokens(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	l := Limit{PerSecond: 10, Burst: 10}
	var b Bucket
	b.Fill(now, l, Whole/10)
	b.Fill(now.Add(time.Minute), l, Whole)
	if b.tokens > 1 {
		t.Errorf("%.1f tokens when the share has grown, want at most the 1 of before", b.tokens)
	}
	b.Fill(now.Add(2*time.Minute), l, Whole)
	b.Fill(now.Add(2*time.Minute), l, Whole/10)
	if b.tokens > 1 {
		t.Errorf("%.1f tokens when the share has shrunk, want at most the 1 that it allows", b.tokens)
	}
}

func ExampleLimit_With() {
	l := Limit{PerSecond: 100, Burst: 100}.With(Allowance{Window: 5 * time.Second, Ratio: 0.1, Requests: 20})
	fmt.Println(l.PerSecond, l.Burst)
	// Output: 105 115
}
