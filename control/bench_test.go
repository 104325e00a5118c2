package control

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config/watch"
	"github.com/galenaarch/galenaarch/control/client"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/internal/configtest"
)

func percentile(durations []time.Duration, fraction float64) time.Duration {
	slices.Sort(durations)
	return durations[min(len(durations)-1, int(fraction*float64(len(durations))))]
}

// cpuTime returns the CPU time used by this process, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCommit measures acknowledged BeginCall requests over twirp for
// different numbers of replicas and concurrent callers. All replicas share one
// machine and disk.
func BenchmarkCommit(b *testing.B) {
	for _, replicas := range []int{1, 3, 5, 7} {
		for _, callers := range []int{1, 16, 256} {
			b.Run(fmt.Sprintf("replicas=%d/callers=%d", replicas, callers), func(b *testing.B) {
				g := newTestGroup(b, replicas)
				g.begin("a", "warm")
				before := g.running[g.leader()].Log().group.Stats()
				var nextKey atomic.Int64
				var mu sync.Mutex
				var latencies []time.Duration
				b.ResetTimer()
				var wg sync.WaitGroup
				for range callers {
					wg.Go(func() {
						c := client.New(g.urls, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}})
						for i := nextKey.Add(1); i <= int64(b.N); i = nextKey.Add(1) {
							sentAt := time.Now()
							_, err := c.BeginCall(context.Background(), &controlv1.BeginCallRequest{
								ClientAccount: fmt.Sprint(i % 64), Key: fmt.Sprint(i), BodyDigest: make([]byte, 32), Entry: "entry-1", Server: "server-1", DispatchId: fmt.Sprint(i),
							})
							if err != nil {
								b.Error(err)
								return
							}
							mu.Lock()
							latencies = append(latencies, time.Since(sentAt))
							mu.Unlock()
						}
					})
				}
				wg.Wait()
				b.StopTimer()
				after := g.running[g.leader()].Log().group.Stats()
				syncs := after.Syncs - before.Syncs
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "entries/s")
				b.ReportMetric(float64(b.N)/float64(max(1, syncs)), "entries/sync")
				b.ReportMetric(float64(percentile(latencies, 0.5).Microseconds()), "p50-us")
				b.ReportMetric(float64(percentile(latencies, 0.99).Microseconds()), "p99-us")
			})
		}
	}
}

// BenchmarkFailover kills the leader of three replicas and measures the time
// until a write is acknowledged again.
func BenchmarkFailover(b *testing.B) {
	g := newTestGroup(b, 3)
	var failoverTimes []time.Duration
	for i := range b.N {
		g.begin("a", fmt.Sprint("before", i))
		name := g.leader()
		g.crash(name)
		killed := time.Now()
		g.begin("a", fmt.Sprint("after", i))
		failoverTimes = append(failoverTimes, time.Since(killed))
		g.start(name)
		for g.running[name].Ready() != nil {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second) // lets the restarted replica catch up
	}
	b.ReportMetric(float64(percentile(failoverTimes, 0.5).Milliseconds()), "p50-ms")
	b.ReportMetric(float64(percentile(failoverTimes, 1).Milliseconds()), "max-ms")
}

// BenchmarkCatchUp restarts a replica that is 100,000 entries behind and
// measures its catch-up time and peak heap.
func BenchmarkCatchUp(b *testing.B) {
	const entries = 100_000
	for range b.N {
		b.StopTimer()
		g := newTestGroup(b, 3)
		g.begin("a", "first")
		leader := g.leader()
		lagging := g.followers(leader)[0]
		g.crash(lagging)
		var wg sync.WaitGroup
		for w := range 128 {
			wg.Go(func() {
				for i := range entries / 128 {
					_, _ = g.running[leader].Log().Propose(context.Background(), &controlv1.Command{Body: &controlv1.Command_BeginCall{BeginCall: &controlv1.BeginCallRequest{
						ClientAccount: fmt.Sprint(w), Key: fmt.Sprint(i), BodyDigest: make([]byte, 32), DispatchId: "d",
					}}})
				}
			})
		}
		wg.Wait()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		base, peak := m.HeapAlloc, uint64(0)
		b.StartTimer()
		g.start(lagging)
		for g.running[lagging].Log().group.Status().AppliedIndex < g.running[leader].Log().group.Status().CommitIndex-1 {
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
			time.Sleep(10 * time.Millisecond)
		}
		b.StopTimer()
		b.ReportMetric(float64(peak-base)/1e6, "peak-MB-over-base")
		b.ReportMetric(float64(g.running[lagging].Log().group.Status().SnapshotIndex), "snapshot-index")
	}
}

// BenchmarkStateCostPerRecord reports the cost of one record of each kind: heap bytes,
// snapshot bytes and time to apply.
func BenchmarkStateCostPerRecord(b *testing.B) {
	const count = 50_000
	kinds := []struct {
		name    string
		command func(i int) *controlv1.Command
	}{
		{"call", func(i int) *controlv1.Command {
			return &controlv1.Command{TimeUnixMs: int64(i), Body: &controlv1.Command_BeginCall{BeginCall: &controlv1.BeginCallRequest{
				ClientAccount: fmt.Sprintf("account-%05d", i%27000), Key: fmt.Sprintf("key-%036d", i), BodyDigest: make([]byte, 32),
				Entry: "entry-0001", Server: "server-0001", DispatchId: fmt.Sprintf("%036d", i),
			}}}
		}},
		{"lease", func(i int) *controlv1.Command {
			return &controlv1.Command{TimeUnixMs: int64(i), Body: &controlv1.Command_AcquireLease{AcquireLease: &controlv1.AcquireLeaseRequest{
				Name: fmt.Sprintf("steward/production/deployment-%05d", i), Holder: "steward-1", TermMs: 300000, AcquireId: fmt.Sprintf("%036d", i),
			}}}
		}},
		{"report", func(i int) *controlv1.Command {
			return &controlv1.Command{TimeUnixMs: int64(i), Body: &controlv1.Command_ReportApplied{ReportApplied: &controlv1.ReportAppliedRequest{
				Environment: "production", Instance: fmt.Sprintf("entry-%05d", i), Role: "entry", FailureDomain: "d1", Incarnation: 1, LeaseMs: 10000,
			}}}
		}},
	}
	for _, k := range kinds {
		b.Run(k.name, func(b *testing.B) {
			for range b.N {
				commands := make([]*controlv1.Command, count)
				for i := range commands {
					commands[i] = k.command(i)
				}
				s := state.New()
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				started := time.Now()
				for _, c := range commands {
					s.Apply(c)
				}
				took := time.Since(started)
				runtime.GC()
				runtime.ReadMemStats(&after)
				data, err := s.Snapshot()
				require.NoError(b, err)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "heap-B/record")
				b.ReportMetric(float64(len(data))/count, "snapshot-B/record")
				b.ReportMetric(float64(took.Nanoseconds())/count, "apply-ns/record")
				runtime.KeepAlive(commands)
			}
		})
	}
	b.Run("item", func(b *testing.B) {
		for range b.N {
			_, items := configtest.ItemsWithAccounts(b, 27000)
			var before, after runtime.MemStats
			s := state.New()
			runtime.GC()
			runtime.ReadMemStats(&before)
			r := s.Apply(&controlv1.Command{Body: &controlv1.Command_ApplyConfig{ApplyConfig: &controlv1.ApplyConfigRequest{
				Environment: "haddon-trial", ChangeId: "first", Upserts: items,
			}}}).GetApplyConfig()
			require.True(b, r.Accepted, r.Reason)
			runtime.GC()
			runtime.ReadMemStats(&after)
			data, err := s.Snapshot()
			require.NoError(b, err)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/27000, "heap-B/record")
			b.ReportMetric(float64(len(data))/27000, "snapshot-B/record")
			runtime.KeepAlive(items)
		}
	})
}

// BenchmarkWatchers runs many configuration watchers against three replicas. All
// run in this process, so the CPU time covers both sides. It reports the CPU
// cost of an idle watcher per second and the time until a change has reached
// all watchers.
func BenchmarkWatchers(b *testing.B) {
	for _, watchers := range []int{100, 760} {
		b.Run(fmt.Sprintf("watchers=%d", watchers), func(b *testing.B) {
			g := newTestGroup(b, 3)
			_, items := configtest.ItemsWithAccounts(b, 1000)
			_, err := g.client.ApplyConfig(g.context(), &controlv1.ApplyConfigRequest{Environment: "haddon-trial", ChangeId: "0", Upserts: items})
			require.NoError(b, err)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var allWatchers []*watch.Watcher
			for i := range watchers {
				c := client.New(g.urls, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}})
				w := watch.New(c, watch.Instance{Name: fmt.Sprintf("entry-%d", i), Role: "entry", Environment: "haddon-trial", Incarnation: 1}, slog.New(slog.DiscardHandler))
				allWatchers = append(allWatchers, w)
				go w.Run(ctx)
			}
			waitForRevision := func(revision uint64) {
				for _, w := range allWatchers {
					for w.View().Revision < revision {
						time.Sleep(time.Millisecond)
					}
				}
			}
			waitForRevision(1)
			time.Sleep(2 * time.Second)
			before := cpuTime()
			const idle = 5 * time.Second
			time.Sleep(idle)
			idleCost := float64((cpuTime() - before).Microseconds()) / idle.Seconds() / float64(watchers)
			b.ResetTimer()
			var slowest time.Duration
			cpuBefore := cpuTime()
			for i := range b.N {
				started := time.Now()
				r, err := g.client.ApplyConfig(g.context(), &controlv1.ApplyConfigRequest{
					Environment: "haddon-trial", ChangeId: fmt.Sprint("c", i), ExpectedRevision: uint64(i + 1),
					Upserts: []*controlv1.ConfigItem{items[i%1000]},
				})
				require.NoError(b, err)
				require.True(b, r.Accepted, r.Reason)
				waitForRevision(uint64(i + 2))
				slowest = max(slowest, time.Since(started))
			}
			b.ReportMetric(idleCost, "idle-us/watcher/s")
			b.ReportMetric(float64(slowest.Milliseconds()), "slowest-in-force-ms")
			b.ReportMetric(float64((cpuTime()-cpuBefore).Microseconds())/float64(b.N)/float64(watchers), "change-us/watcher")
		})
	}
}
