package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaarch/galenaarch/consensus"
	"github.com/galenaarch/galenaarch/control/replog"
)

// registerMetrics registers the metrics of a replica.
func registerMetrics(registry *prometheus.Registry, log func() *ReplicatedLog) {
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	counter := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, value)
	}
	g := func() *replog.Group { return log().group }
	collectors := []prometheus.Collector{
		gauge("galena_control_term", "Term of the replicated log.", func() float64 { return float64(g().Status().Term) }),
		gauge("galena_control_leader", "1 if this replica leads.", func() float64 {
			if g().Status().Role == consensus.RoleLeader {
				return 1
			}
			return 0
		}),
		gauge("galena_control_commit_index", "Last committed entry.", func() float64 { return float64(g().Status().CommitIndex) }),
		gauge("galena_control_snapshot_index", "Last entry that the snapshot holds.", func() float64 { return float64(g().Status().SnapshotIndex) }),
		counter("galena_control_commits_total", "Committed entries.", func() float64 { return float64(g().Stats().Commits) }),
		counter("galena_control_syncs_total", "Writes of the log that were synced.", func() float64 { return float64(g().Stats().Syncs) }),
		counter("galena_control_sync_seconds_total", "Time spent in synced writes.", func() float64 { return g().Stats().SyncTime.Seconds() }),
	}
	voters := func() (total, responding int) { return g().Voters() }
	collectors = append(collectors,
		gauge("galena_control_leaderless_seconds", "How long no leader has served, as this replica sees it.", func() float64 { return g().LeaderlessFor().Seconds() }),
		gauge("galena_control_voters", "Voters of the replicated log.", func() float64 { total, _ := voters(); return float64(total) }),
		gauge("galena_control_voters_responding", "Voters that respond to this replica while it leads or is a candidate, itself included.", func() float64 { _, n := voters(); return float64(n) }),
	)
	for _, stage := range replog.Stages {
		collectors = append(collectors, prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "galena_control_start_stage_seconds", Help: "Time from the start of the replica to the end of a stage; 0 before that.", ConstLabels: prometheus.Labels{"stage": string(stage)},
		}, func() float64 { return g().StageReached(stage).Seconds() }))
	}
	for _, reason := range replog.RefusalReasons {
		collectors = append(collectors, prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "galena_control_refused_reads_total", Help: "Linearizable reads that this replica did not serve, by reason.", ConstLabels: prometheus.Labels{"reason": string(reason)},
		}, func() float64 { return float64(g().RefusedReads(reason)) }))
	}
	for _, c := range collectors {
		// Registration fails for a second replica in one process, as in tests;
		// only the first one is exported.
		_ = registry.Register(c)
	}
}
