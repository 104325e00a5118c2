// Package retry bounds the amount of retried traffic. An entry instance has one
// budget for prompts and service calls together, so that retries do not multiply
// across layers.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// unitsPerRetry is the number of budget units per retry.
const unitsPerRetry = 1000

// Budget is a token bucket that every first attempt refills by a fraction of a retry.
// It is safe for concurrent use.
type Budget struct {
	earnPerAttempt int64
	capacity       int64
	balance        atomic.Int64
}

// NewBudget returns a full budget. ratio is the number of retries earned per first
// attempt, burst the maximum number of saved retries.
func NewBudget(ratio float64, burst int) *Budget {
	b := &Budget{earnPerAttempt: int64(ratio * unitsPerRetry), capacity: int64(burst) * unitsPerRetry}
	b.balance.Store(b.capacity)
	return b
}

// Earn records a first attempt.
func (b *Budget) Earn() {
	for {
		balance := b.balance.Load()
		next := min(balance+b.earnPerAttempt, b.capacity)
		if next == balance || b.balance.CompareAndSwap(balance, next) {
			return
		}
	}
}

// Spend takes one retry from the budget. It returns false if none is left.
func (b *Budget) Spend() bool {
	for {
		balance := b.balance.Load()
		if balance < unitsPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-unitsPerRetry) {
			return true
		}
	}
}

// Backoff returns the delay before a retry, with full jitter: uniformly distributed
// between 0 and base doubled per earlier retry, at most limit. retries counts from 0.
func Backoff(retries int, base, limit time.Duration, random *rand.Rand) time.Duration {
	ceiling := limit
	if retries < 16 {
		ceiling = min(limit, base<<retries)
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}
