package fleetview

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// followInVirtualTime runs a process that follows nine control instances and has version 1 in force.
func followInVirtualTime(t *testing.T, run func(ctx context.Context, t *testing.T, f *simFleet, p *simProcess)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		f := newSimFleet(1, 9)
		f.publish(ctx, 1)
		time.Sleep(time.Second)
		p := f.start(ctx, "e-0")
		require.Eventually(t, func() bool { return p.version() == 1 }, time.Second, simStep)
		time.Sleep(soakInTouchAfter)
		run(ctx, t, f, p)
	})
}

// TestExchangesSlowerThanTheirLimitAreReceived guards against a process that never hears of a version because
// each of its exchanges with the control instances takes longer than the limit of a poll.
func TestExchangesSlowerThanTheirLimitAreReceived(t *testing.T) {
	// inForceWithin is the smallest bound in use for instances beside a disturbance, besides
	// the time of one exchange.
	const inForceWithin = 5 * time.Second
	for _, exchangeTime := range []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(fmt.Sprint("exchanges take ", exchangeTime), func(t *testing.T) {
			followInVirtualTime(t, func(ctx context.Context, t *testing.T, f *simFleet, p *simProcess) {
				f.mu.Lock()
				p.exchangeTime, p.slowUntil = exchangeTime, time.Now().Add(time.Minute)
				f.mu.Unlock()
				for version := uint64(2); version < 8; version++ {
					f.publish(ctx, version)
					startedAt := time.Now()
					require.Eventually(t, func() bool { return p.version() == version }, inForceWithin+exchangeTime, simStep, "version %d", version)
					t.Logf("version %d in force after %v", version, time.Since(startedAt))
				}
			})
		})
	}
}

// TestVersionPassesConnectionsThatFellSilent guards against polls and fetches that try one kept connection after the
// other when all have fallen silent.
func TestVersionPassesConnectionsThatFellSilent(t *testing.T) {
	for _, after := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond} {
		t.Run(fmt.Sprint("version published ", after, " after"), func(t *testing.T) {
			followInVirtualTime(t, func(ctx context.Context, t *testing.T, f *simFleet, p *simProcess) {
				for version := uint64(2); version < 22; version++ {
					p.silence()
					silentAt := time.Now()
					time.Sleep(after)
					f.publish(ctx, version)
					require.Eventually(t, func() bool { return p.version() == version }, soakInTouchAfter, simStep, "version %d", version)
					t.Logf("version %d in force after %v", version, time.Since(silentAt))
					time.Sleep(time.Second)
				}
			})
		})
	}
}
