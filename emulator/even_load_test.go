package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleetSize is a size of fleet with the load in proportion to its engines.
type fleetSize struct {
	entries, engines int
	// domainUpdateMS and farUpdateMS are those of Fleet.
	domainUpdateMS, farUpdateMS float64
}

// fleetPattern is a load of long and short prompts with shared prefixes on a fleet in three
// failure domains. An engine's memory holds six of the long prefixes.
func fleetPattern(size fleetSize) *Pattern {
	share := float64(size.engines) / 60
	p := &Pattern{
		Name: fmt.Sprint("fleet-", size.entries), Seed: 1, Seconds: 20, Entries: size.entries,
		Fleet:   Fleet{Domains: 3, DomainUpdateMS: size.domainUpdateMS, FarUpdateMS: size.farUpdateMS},
		Engines: Engines{Count: size.engines, Slots: 24, MemoryTokens: 79_099, TokensPerMS: 56.6, StepMS: 3.79, StepMSPerRequest: 0.09, ChunkTokens: 4096, ImportTokensPerMS: 400, StoreTokens: int(2_500_000 * share)},
		Kinds: []RequestKind{
			{Name: "long", PerSecond: 63.7 * share, ObjectiveMS: 1500, DeadlineMS: 8000, PrefixTokens: 12_800, PrefixCount: int(782 * share), SuffixTokens: 4260, OutputTokens: 15, MaxClientRetries: 1, Rank: 2},
			{Name: "short", PerSecond: 889 * share, ObjectiveMS: 500, DeadlineMS: 4000, PrefixTokens: 301, PrefixCount: int(6304 * share), SuffixTokens: 82, OutputTokens: 6, Retryable: true, MaxClientRetries: 1},
		},
	}
	if size == fleetOf89 {
		// Slower engines, and long prompts that take half of what they can do.
		p.Engines.Slots, p.Engines.MemoryTokens, p.Engines.TokensPerMS, p.Engines.StepMS, p.Engines.ChunkTokens, p.Engines.StoreTokens = 12, 71_903, 36.7, 4.34, 2048, 3_700_000
		p.Kinds[0].PerSecond, p.Kinds[0].PrefixCount, p.Kinds[0].ObjectiveMS = 138, 1252, 1000
		p.Kinds[1].PerSecond, p.Kinds[1].PrefixCount = 532, 4840
	}
	return p
}

var (
	smallFleet = fleetSize{4, 12, 25, 150}
	fleetOf23  = fleetSize{23, 60, 50, 150}
	fleetOf89  = fleetSize{89, 140, 250, 300}
)

// fleetCases are the conditions under which the spread of load is measured.
var fleetCases = []struct {
	name   string
	change func(p *Pattern)
}{
	{"even", func(*Pattern) {}},
	{"two speeds", func(p *Pattern) {
		p.Faults = []Fault{{Kind: "slow", DurationSeconds: p.Seconds, ServerShare: 0.5, Magnitude: 1.6}}
	}},
	{"noise", func(p *Pattern) {
		p.Engines.NoiseShare, p.Engines.NoiseFactor, p.Engines.NoiseMS = 0.15, 2.5, 600
	}},
	{"hot part", func(p *Pattern) { p.Kinds[0].HotShare = 1.0 / 3 }},
	{"lost quarter", func(p *Pattern) {
		p.Faults = []Fault{{Kind: "dark", StartSeconds: 6, DurationSeconds: 8, ServerShare: 0.25}}
	}},
}

// BenchmarkSpread measures the table of docs/measurements/even-load.md:
// go test ./emulator -run '^$' -bench Spread -benchtime 1x.
func BenchmarkSpread(b *testing.B) {
	for _, without := range []string{"fleet-homes", "bookings", ""} {
		for _, size := range []fleetSize{smallFleet, fleetOf23, fleetOf89} {
			for _, c := range fleetCases {
				b.Run(fmt.Sprintf("without=%s/%d/%s", without, size.entries, c.name), func(b *testing.B) {
					for b.Loop() {
						p := fleetPattern(size)
						c.change(p)
						reportSpread(b, Simulate(p, expectedTimeWithout(b, without)))
					}
				})
			}
		}
	}
}

func reportSpread(b *testing.B, r *Result) {
	b.ReportMetric(r.Spread.Variation, "variation")
	b.ReportMetric(float64(r.Spread.P99)/float64(max(1, r.Spread.Mean)), "p99/mean")
	b.ReportMetric(100*r.Spread.Overrun, "overrun-%")
	b.ReportMetric(float64(r.RereadTokens)/1e6, "reread-M")
	for i := range r.Kinds {
		k := &r.Kinds[i]
		b.ReportMetric(k.OnTimeShare(), k.Name+"-on-time")
		b.ReportMetric(float64(k.Quantile(0.99).Milliseconds()), k.Name+"-p99-ms")
		b.ReportMetric(float64(mean(r.Spread.Ahead[i]).Microseconds())/1000, k.Name+"-ahead-ms")
		b.ReportMetric(float64(quantile(r.Spread.Ahead[i], 0.99).Milliseconds()), k.Name+"-ahead-p99-ms")
	}
}

func mean(durations []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range durations {
		sum += d
	}
	return sum / time.Duration(max(1, len(durations)))
}

// TestFleetReadsSharedPrefixesOnce sends prompts through an instance of each of several cells. With
// a home in each cell, every cell reads and keeps a copy of each prefix.
func TestFleetReadsSharedPrefixesOnce(t *testing.T) {
	t.Parallel()
	p := fleetPattern(fleetOf23)
	p.Seconds = 10
	inCells := Simulate(p, expectedTimeWithout(t, "fleet-homes"))
	overFleet := Simulate(p, expectedTime)
	require.Less(t, overFleet.RereadTokens, inCells.RereadTokens*2/3)
	for i := range overFleet.Kinds {
		require.GreaterOrEqual(t, overFleet.Kinds[i].OnTimeShare(), inCells.Kinds[i].OnTimeShare()-0.005)
	}
}

// maxShortLoss is how far the share of short prompts on time may fall by bookings: long ones that
// find the servers for their length booked go to those for short ones a little more often.
const maxShortLoss = 0.01

// TestBookedLongPromptsAreOnTime sends long prompts through 89 instances whose knowledge of each
// other is as old as half a prompt. Without bookings, two often meet at one server while others
// idle.
func TestBookedLongPromptsAreOnTime(t *testing.T) {
	t.Parallel()
	for _, c := range fleetCases {
		if c.name != "even" && c.name != "noise" && c.name != "hot part" {
			continue
		}
		p := fleetPattern(fleetOf89)
		p.Seconds = 8
		c.change(p)
		without := Simulate(p, expectedTimeWithout(t, "bookings"))
		with := Simulate(p, expectedTime)
		require.Greater(t, with.Kinds[0].OnTimeShare(), without.Kinds[0].OnTimeShare(), c.name)
		require.Less(t, mean(with.Spread.Ahead[0]), mean(without.Spread.Ahead[0])/2, c.name)
		require.GreaterOrEqual(t, with.Kinds[1].OnTimeShare(), without.Kinds[1].OnTimeShare()-maxShortLoss, c.name)
	}
}
