package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBudgetLimitsRetryRatio(t *testing.T) {
	const ratio, burst, requests = 0.1, 5, 10000
	b := NewBudget(ratio, burst)
	spent := 0
	for range requests {
		b.Earn()
		// Every attempt fails and every layer tries to retry.
		for range 3 {
			if b.Spend() {
				spent++
			}
		}
	}
	require.LessOrEqual(t, spent, burst+int(ratio*requests))
	require.GreaterOrEqual(t, spent, int(ratio*requests))
}

func TestBackoffIsBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for retries := range 70 {
		delay := Backoff(retries, time.Millisecond, 50*time.Millisecond, random)
		require.GreaterOrEqual(t, delay, time.Duration(0))
		require.LessOrEqual(t, delay, min(50*time.Millisecond, time.Millisecond<<min(retries, 10)))
	}
}
