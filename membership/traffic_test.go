package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/memberv1"
)

// Parameters of the traffic benchmark.
const (
	regionsAtScale     = 7
	serversPerNode     = 9
	loadReportInterval = 3 * time.Second
	trafficDuration    = 10 * time.Second
)

// publishLoads has an instance publish the loads of its servers periodically.
func (sim *simulation) publishLoads(c *Core) {
	loads := &memberv1.ServerLoads{}
	for range serversPerNode {
		loads.Servers = append(loads.Servers, sim.random.Uint32())
		loads.Running = append(loads.Running, uint32(sim.random.IntN(64)))
		loads.Waiting = append(loads.Waiting, uint32(sim.random.IntN(8)))
		loads.WaitingTokens = append(loads.WaitingTokens, uint32(sim.random.IntN(9000)))
	}
	raw, _ := proto.Marshal(loads)
	c.Put("loads", raw, false)
	sim.after(loadReportInterval, func() { sim.publishLoads(c) })
}

// traffic returns the mean and the highest rate at which a node sends, in bytes
// per second, with or without load reports.
func traffic(nodes, regions int, loads bool) (mean, worst float64) {
	sim := newSimulation()
	seed := testMember(0, "region-0", 0).PeerURL
	for i := range nodes {
		region := fmt.Sprintf("region-%d", i*regions/nodes)
		m := testMember(i, region, 1)
		c := NewCore(m, []string{seed}, sim.now, rand.New(rand.NewPCG(uint64(i), 1)))
		sim.cores = append(sim.cores, c)
		sim.byURL[m.PeerURL] = c
		sim.after(time.Duration(sim.random.Int64N(int64(time.Second))), func() { sim.tick(c) })
		if loads {
			sim.after(time.Duration(sim.random.Int64N(int64(loadReportInterval))), func() { sim.publishLoads(c) })
		}
	}
	sim.run(40 * time.Second)
	clear(sim.sent)
	sim.run(trafficDuration)
	for _, n := range sim.sent {
		rate := float64(n) / trafficDuration.Seconds()
		mean += rate / float64(nodes)
		worst = max(worst, rate)
	}
	return mean, worst
}

// BenchmarkTraffic reports the bytes per second that a node sends, including
// HTTP and packet headers. On average it receives as much.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []struct{ nodes, regions int }{{5, 1}, {50, 1}, {760, regionsAtScale}} {
		for _, loads := range []bool{false, true} {
			b.Run(fmt.Sprintf("nodes=%d/loads=%t", size.nodes, loads), func(b *testing.B) {
				for b.Loop() {
					mean, worst := traffic(size.nodes, size.regions, loads)
					b.ReportMetric(mean, "B/s/node")
					b.ReportMetric(worst, "B/s/worst")
				}
			})
		}
	}
}
