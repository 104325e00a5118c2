package fleetview

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// inForceWithin is the smallest bound in use on the time from an acknowledgement until the
// change is in force; inTouchAfter is after which time without a disruption it holds.
const (
	soakInForceWithin = 2 * time.Second
	soakInTouchAfter  = 3 * time.Second
)

// soakSeeds returns the seeds of a soak: GALENA_VIEW_SEEDS many from GALENA_VIEW_SEED on.
func soakSeeds(t *testing.T, count uint64) (first, end uint64) {
	t.Helper()
	first = 1
	for name, value := range map[string]*uint64{"GALENA_VIEW_SEED": &first, "GALENA_VIEW_SEEDS": &count} {
		if text := os.Getenv(name); text != "" {
			n, err := strconv.ParseUint(text, 10, 64)
			require.NoError(t, err, name)
			*value = n
		}
	}
	return first, first + count
}

// documentSoak is a run of many processes that follow control instances of which a minority is
// disturbed at any time, while a version follows each 0.1 to 0.4 s.
type documentSoak struct {
	*simFleet
	t         *testing.T
	ctx       context.Context
	processes []*simProcess
	// acknowledgedAt holds the time of each version.
	acknowledgedAt []time.Time
	// seen is the version that each process had in force at the last check.
	seen []uint64
	// disturbedUntil is until when a control instance is disturbed.
	disturbedUntil []time.Time
	// late counts the checks at which a process was behind, unheard those at which it had not heard of
	// the version; longest is the longest time since the acknowledgement.
	late, unheard int
	longest       time.Duration
}

func (s *documentSoak) randomTime(least, most time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

func (s *documentSoak) number(below int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(below)
}

// disturb disturbs one control instance if a majority stays without a disturbance.
func (s *documentSoak) disturb() {
	now, disturbed := time.Now(), 0
	for _, until := range s.disturbedUntil {
		if now.Before(until) {
			disturbed++
		}
	}
	n := s.number(len(s.controls))
	if 2*(disturbed+1) >= len(s.controls) || now.Before(s.disturbedUntil[n]) {
		return
	}
	c, lasts := s.controls[n], s.randomTime(500*time.Millisecond, 6*time.Second)
	s.disturbedUntil[n] = now.Add(lasts)
	kind := s.number(6)
	s.t.Logf("%v: disturbance %d of control instance %d for %v", now.Format("05.000"), kind, n, lasts)
	switch kind {
	case 0:
		s.mu.Lock()
		c.frozenUntil = now.Add(lasts)
		s.mu.Unlock()
		go s.applyLater(s.ctx, c, lasts+time.Millisecond)
	case 1:
		down := s.randomTime(50*time.Millisecond, lasts)
		go s.restart(s.ctx, c, down, lasts-down)
	case 2:
		s.mu.Lock()
		c.staleUntil = now.Add(lasts)
		s.mu.Unlock()
		go s.applyLater(s.ctx, c, lasts+time.Millisecond)
	case 3, 4:
		response, content := time.Duration(0), s.randomTime(500*time.Millisecond, 3*time.Second)
		if kind == 4 {
			response, content = s.randomTime(200*time.Millisecond, 1500*time.Millisecond), 0
		}
		s.mu.Lock()
		c.responseTime, c.contentTime, c.slowUntil = response, content, now.Add(lasts)
		s.mu.Unlock()
	case 5:
		s.mu.Lock()
		for _, p := range s.processes {
			if s.random.IntN(3) == 0 {
				p.cutUntil[c.url] = now.Add(lasts)
			}
		}
		s.mu.Unlock()
	}
}

// check checks that each process has in force what was acknowledged inForceWithin ago, and nothing
// older than before.
func (s *documentSoak) check() {
	now, required := time.Now(), uint64(0)
	for n, at := range s.acknowledgedAt {
		if now.Sub(at) > soakInForceWithin {
			required = uint64(n + 1)
		}
	}
	for n, p := range s.processes {
		version := p.version()
		require.GreaterOrEqual(s.t, version, s.seen[n], "version in force at process %d", n)
		s.seen[n] = version
		if now.Sub(p.startedAt) > soakInTouchAfter && version < required {
			s.recordLate(n, version, now)
		}
	}
}

// recordLate records that a process has an older version in force. The first of a series is logged.
func (s *documentSoak) recordLate(process int, version uint64, now time.Time) {
	heard, age := reportedVersion(s.processes[process].view), now.Sub(s.acknowledgedAt[version])
	s.late, s.longest = s.late+1, max(s.longest, age)
	if heard <= version {
		s.unheard++
	}
	if age <= soakInForceWithin+simStep {
		s.t.Logf("%v: process %d has version %d, heard of %d", now.Format("05.000"), process, version, heard)
	}
}

func (s *documentSoak) run(processes int, duration time.Duration) {
	s.disturbedUntil = make([]time.Time, len(s.controls))
	for n := range processes {
		s.processes, s.seen = append(s.processes, s.start(s.ctx, fmt.Sprint("e-", n))), append(s.seen, 0)
	}
	end := time.Now().Add(duration)
	nextVersion, nextDisturbance, nextRestart := time.Now(), time.Now().Add(soakInTouchAfter), time.Now().Add(soakInTouchAfter)
	for now := time.Now(); now.Before(end); now = time.Now() {
		if !now.Before(nextVersion) {
			s.acknowledgedAt = append(s.acknowledgedAt, now)
			s.publish(s.ctx, uint64(len(s.acknowledgedAt)))
			nextVersion = now.Add(s.randomTime(100*time.Millisecond, 400*time.Millisecond))
			if s.number(12) == 0 {
				nextVersion = nextVersion.Add(s.randomTime(0, 4*time.Second))
			}
		}
		if !now.Before(nextDisturbance) {
			s.disturb()
			nextDisturbance = now.Add(s.randomTime(50*time.Millisecond, time.Second))
		}
		if !now.Before(nextRestart) {
			n := s.number(processes)
			s.processes[n].stop()
			s.processes[n], s.seen[n] = s.start(s.ctx, fmt.Sprint("e-", n)), 0
			nextRestart = now.Add(s.randomTime(200*time.Millisecond, 3*time.Second))
		}
		time.Sleep(10 * time.Millisecond)
		s.check()
	}
	require.Zero(s.t, s.late, "checks at which a process was behind, %d of them without having heard of the version; longest %v after the acknowledgement", s.unheard, s.longest)
}

// TestVersionsAreInForceBesideDisturbedMinority guards against a process that stays behind while a
// majority of the control instances holds a version and responds.
func TestVersionsAreInForceBesideDisturbedMinority(t *testing.T) {
	const (
		controls, processes = 9, 30
		duration            = 30 * time.Second
	)
	first, end := soakSeeds(t, 4)
	for seed := first; seed < end; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &documentSoak{simFleet: newSimFleet(seed, controls), t: t, ctx: ctx}
				defer func() {
					cancel()
					time.Sleep(10 * time.Second)
				}()
				s.run(processes, duration)
			})
		})
	}
}

// TestContentSlowerThanItsLimitIsReceived guards against a version that stays unknown because each
// fetch of it is given up and begun again, while all control instances deliver it, but slowly.
func TestContentSlowerThanItsLimitIsReceived(t *testing.T) {
	// inForceWithin is the smallest bound in use for instances beside a disturbance.
	const inForceWithin = 5 * time.Second
	for _, contentTime := range []time.Duration{900 * time.Millisecond, 1200 * time.Millisecond, 1900 * time.Millisecond} {
		t.Run(fmt.Sprint("content takes ", contentTime), func(t *testing.T) {
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
				f.mu.Lock()
				for _, c := range f.controls {
					c.contentTime, c.slowUntil = contentTime, time.Now().Add(time.Minute)
				}
				f.mu.Unlock()
				for version := uint64(2); version < 8; version++ {
					f.publish(ctx, version)
					require.Eventually(t, func() bool { return p.version() == version }, inForceWithin, simStep, "version %d", version)
				}
			})
		})
	}
}
