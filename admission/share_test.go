package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testLimit = Amount{Rate: 100, Concurrency: 40, Tokens: 60000}

// testInstance is an entry instance whose clock has an arbitrary offset.
type testInstance struct {
	name        string
	shares      *Shares
	clockOffset time.Duration
	wanted      Amount
}

func (inst *testInstance) now(elapsed time.Duration) time.Duration { return elapsed + inst.clockOffset }

// message is a message that may be delayed, lost or duplicated.
type message struct {
	deliverAt time.Duration
	from      *testInstance
	to        *testInstance
	requests  []LoanRequest
	loans     []Loan
}

func requireWithin(t *testing.T, sum Amount, elapsed time.Duration) {
	t.Helper()
	const rounding = 1e-6
	require.LessOrEqual(t, sum.Rate, testLimit.Rate+rounding, "at %v", elapsed)
	require.LessOrEqual(t, sum.Concurrency, testLimit.Concurrency+rounding, "at %v", elapsed)
	require.LessOrEqual(t, sum.Tokens, testLimit.Tokens+rounding, "at %v", elapsed)
}

// The sum of all shares must stay within the limit under changing demand, while the
// network delays, loses and duplicates messages and cuts an instance off.
func TestSharesNeverExceedLimit(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkShares(t, seed)
		})
	}
}

// checkShares checks the sum of the shares against the limit through a simulated
// minute.
func checkShares(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	var instances []*testInstance
	for i := range 4 {
		inst := &testInstance{name: fmt.Sprintf("entry-%d", i), shares: NewShares(), clockOffset: time.Duration(random.Int64N(int64(time.Hour)))}
		inst.shares.SetInstances(4, true)
		instances = append(instances, inst)
	}
	var inFlight []message
	send := func(m message) {
		for range random.IntN(3) { // lost, delivered once or duplicated
			m.deliverAt += time.Duration(random.Int64N(int64(4 * time.Second)))
			inFlight = append(inFlight, m)
		}
	}
	cutOff := instances[random.IntN(4)]
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += 100 * time.Millisecond {
		cut := elapsed > 20*time.Second && elapsed < 40*time.Second
		for _, inst := range instances {
			if random.IntN(20) == 0 {
				inst.wanted = Amount{random.Float64() * 120, random.Float64() * 50, random.Float64() * 70000}
			}
			inst.shares.SetInstances(4, !cut || inst != cutOff || elapsed < 20*time.Second+PartitionGrace)
			share := inst.shares.Share("a", testLimit, inst.now(elapsed))
			inst.shares.RecordUse("a", testLimit, inst.wanted.limitedTo(share), inst.wanted, inst.now(elapsed))
			inst.shares.DropExpired(inst.now(elapsed))
			for _, peer := range instances {
				if peer != inst && !(cut && (inst == cutOff || peer == cutOff)) {
					send(message{deliverAt: elapsed, from: inst, to: peer, requests: inst.shares.LoanRequests(inst.now(elapsed))})
				}
			}
		}
		var undelivered []message
		for _, m := range inFlight {
			switch {
			case m.deliverAt > elapsed:
				undelivered = append(undelivered, m)
			case m.requests != nil:
				loans := m.to.shares.Grant(m.from.name, m.requests, func(string) Amount { return testLimit }, m.to.now(elapsed))
				if len(loans) > 0 {
					undelivered = append(undelivered, message{deliverAt: m.deliverAt + time.Duration(random.Int64N(int64(5*time.Second))), from: m.to, to: m.from, loans: loans})
				}
			case m.loans != nil:
				m.to.shares.AcceptLoans(m.from.name, m.loans, m.to.now(elapsed))
			}
		}
		inFlight = undelivered
		var sum Amount
		for _, inst := range instances {
			sum = sum.addScaled(inst.shares.Share("a", testLimit, inst.now(elapsed)), 1)
		}
		requireWithin(t, sum, elapsed)
	}
}

func TestSharesFollowDemand(t *testing.T) {
	busy, idle := NewShares(), NewShares()
	busy.SetInstances(2, true)
	idle.SetInstances(2, true)
	busy.RecordUse("a", testLimit, Amount{50, 20, 30000}, Amount{90, 40, 60000}, 0)
	idle.RecordUse("a", testLimit, Amount{Rate: 4}, Amount{Rate: 4}, 0)
	loans := idle.Grant("busy", busy.LoanRequests(0), func(string) Amount { return testLimit }, 0)
	busy.AcceptLoans("idle", loans, time.Millisecond)
	got := busy.Share("a", testLimit, time.Millisecond)
	require.Equal(t, Amount{Rate: 90, Concurrency: 40, Tokens: 60000}, got)
	require.Equal(t, Amount{Rate: 10}, idle.Share("a", testLimit, time.Millisecond))
	require.Equal(t, Amount{50, 20, 30000}, busy.Share("a", testLimit, LoanTerm), "the loan has expired")
	require.Equal(t, Amount{50, 20, 30000}, idle.Share("a", testLimit, LoanTerm+loanMargin))
}

func TestIdleAccountsAreDropped(t *testing.T) {
	s := NewShares()
	s.SetInstances(4, true)
	for i := range 27000 {
		name := fmt.Sprintf("account-%d", i)
		now := time.Duration(i) * time.Millisecond
		s.RecordUse(name, testLimit, Amount{Rate: 1}, Amount{Rate: 1}, now)
		s.Share(name, testLimit, now)
	}
	s.DropExpired(27*time.Second + idleTTL)
	require.Zero(t, s.Accounts())
}
