package capacity

import "math"

// Names of the slopes that a plan uses.
const (
	// SlopeMembershipTraffic is the membership traffic of a node in bytes per
	// second, by number of members.
	SlopeMembershipTraffic = "membership_bytes_per_second"
	// SlopeServerReportTraffic is the traffic of a node for server reports in bytes
	// per second, by number of servers in its view.
	SlopeServerReportTraffic = "report_bytes_per_second"
	// SlopeConfigApplyTime is the time to put a configuration change in force in
	// seconds, by number of client accounts.
	SlopeConfigApplyTime = "config_offer_seconds"
	// SlopeConfigItemSize is the size of a client account in a configuration delta
	// in bytes.
	SlopeConfigItemSize = "config_item_bytes"
	// SlopeDocumentMemory is the memory used by a document in bytes, by number of
	// client accounts.
	SlopeDocumentMemory = "config_memory_bytes"
	// SlopeCatalogueMemory is the memory used by the catalogue in bytes, by number of
	// blocks.
	SlopeCatalogueMemory = "catalogue_bytes"
	// SlopeRoutingDecisionTime is the time of a routing decision in seconds, by
	// number of servers in view.
	SlopeRoutingDecisionTime = "decision_seconds"
	// SlopeRelayTime is the time to relay one event in seconds.
	SlopeRelayTime = "relay_seconds"
	// SlopeCommitRate is the commit rate of one consensus group in log entries per
	// second, by number of replicas.
	SlopeCommitRate = "commits_per_second"
	// SlopeCallRecordMemory is the memory used by a call record in bytes.
	SlopeCallRecordMemory = "call_record_bytes"
	// SlopeInstanceReportTime is the time of one instance report in seconds, for
	// control and the instance together.
	SlopeInstanceReportTime = "instance_report_seconds"
	// SlopeReconcileTime is the time that a steward takes for one plan in
	// seconds, by number of servers.
	SlopeReconcileTime = "reconcile_seconds"
)

const (
	secondsPerDay = 24 * 60 * 60
	// callRetention is how long the plan assumes that call records are kept, in
	// seconds.
	callRetention = 60 * 60
	// recordsPerGroup is the number of call records that one consensus group holds.
	recordsPerGroup = 500_000
	// reportInterval is the time between two reports of an instance in seconds.
	reportInterval = 1
	// reconcileInterval is the time between two plans of a steward in seconds if
	// nothing changes.
	reconcileInterval = 2
	// commitsPerCall is the number of log entries written for one non-idempotent
	// call.
	commitsPerCall = 2
)

// Row is one row of a plan: the demand of a role for one resource.
type Row struct {
	Role     string `json:"role"`
	Resource string `json:"resource"`
	Unit     string `json:"unit"`
	// Measured is false, and Value is 0, if a required slope was not measured.
	Measured bool    `json:"measured"`
	Value    float64 `json:"value"`
	// Budget is the largest acceptable Value; 0 means that there is no budget.
	Budget float64 `json:"limit,omitempty"`
	// Mechanism describes the part of the design that meets or bounds the demand.
	Mechanism string `json:"mechanism"`
}

// OverBudget reports whether the value exceeds its budget.
func (r *Row) OverBudget() bool { return r.Measured && r.Budget > 0 && r.Value > r.Budget }

// planner computes the rows of a plan.
type planner struct {
	in   *Input
	rows []Row
}

// evaluate returns the value of a slope at x, or NaN if it was not measured.
func (p *planner) evaluate(name string, x float64) float64 {
	line, ok := p.in.fitSlope(name)
	if !ok {
		return math.NaN()
	}
	return line.ValueAt(x)
}

func (p *planner) addRow(role, resource, unit string, value, budget float64, mechanism string) {
	row := Row{Role: role, Resource: resource, Unit: unit, Budget: budget, Mechanism: mechanism}
	if !math.IsNaN(value) && !math.IsInf(value, 0) {
		row.Measured, row.Value = true, value
	}
	p.rows = append(p.rows, row)
}

// Plan returns the resources that each role needs at the size of the input.
func Plan(in *Input) []Row {
	p := &planner{in: in}
	p.addEntryTraffic()
	p.addEntryCPU()
	p.addEntryMemory()
	p.addControl()
	p.addSteward()
	return p.rows
}

// serversInView returns the number of servers in an entry's view: those of its
// region, on average.
func (p *planner) serversInView() float64 { return p.in.Size.BackendServers / p.in.Size.Regions }

func (p *planner) addEntryTraffic() {
	s := &p.in.Size
	changes := s.ChangesPerDay / secondsPerDay
	members := p.evaluate(SlopeMembershipTraffic, s.Nodes)
	reports := p.evaluate(SlopeServerReportTraffic, p.serversInView())
	deltas := changes * p.evaluate(SlopeConfigItemSize, 1)
	p.addRow("entry", "membership", "bytes a second", members, s.TrafficBudget, "exchange with a few members a period")
	p.addRow("entry", "reports of servers", "bytes a second", reports, s.TrafficBudget, "compact digests of the region's servers")
	p.addRow("entry", "configuration deltas", "bytes a second", deltas, s.TrafficBudget, "deltas, from control or another entry")
	p.addRow("entry", "control traffic in all", "bytes a second", members+reports+deltas, s.TrafficBudget, "sum of the above")
}

func (p *planner) addEntryCPU() {
	s := &p.in.Size
	changes := s.ChangesPerDay / secondsPerDay
	p.addRow("entry", "configuration changes", "share of a core", changes*p.evaluate(SlopeConfigApplyTime, s.ClientAccounts), s.CPUBudget, "only changed items are decoded")
	decisions := s.RequestsPerSecond / s.Nodes * p.evaluate(SlopeRoutingDecisionTime, p.serversInView())
	p.addRow("entry", "routing decisions", "share of a core", decisions, 0, "candidates of the own region; read-copy-update")
	relayed := s.TokensPerSecond / s.Nodes * p.evaluate(SlopeRelayTime, 1)
	p.addRow("entry", "relayed tokens", "cores", relayed, 0, "events are passed on without decoding them whole")
}

func (p *planner) addEntryMemory() {
	s := &p.in.Size
	document := p.evaluate(SlopeDocumentMemory, s.ClientAccounts)
	blocks := s.Contexts * s.BlocksPerContext / s.Nodes
	catalogue := p.evaluate(SlopeCatalogueMemory, blocks)
	p.addRow("entry", "document in force", "bytes", document, s.MemoryBudget, "items and lookups")
	p.addRow("entry", "catalogue shard", "bytes", catalogue, s.MemoryBudget, "rendezvous hash over the entries")
	p.addRow("entry", "control memory in all", "bytes", document+catalogue, s.MemoryBudget, "sum of the above")
}

func (p *planner) addControl() {
	s := &p.in.Size
	calls := s.RequestsPerSecond * s.NonIdempotentShare
	commits := calls*commitsPerCall + s.Nodes/reportInterval + s.ChangesPerDay/secondsPerDay
	p.addRow("control", "log entries", "entries a second", commits, 0, "records, instance reports, changes")
	p.addRow("control", "groups for commits", "groups", math.Ceil(commits/p.evaluate(SlopeCommitRate, s.ControlReplicas)), 0, "group commit; one group in use today")
	p.addRow("control", "groups for call records", "groups", math.Ceil(calls*callRetention/recordsPerGroup), 0, "records by client account: designed, not built")
	p.addRow("control", "call records", "bytes", calls*callRetention*p.evaluate(SlopeCallRecordMemory, 1), 0, "bounded per account and in all")
	p.addRow("control", "instance reports and polls", "cores, both sides", s.Nodes/reportInterval*p.evaluate(SlopeInstanceReportTime, 1), 0, "one proposal each and a long poll")
	p.addRow("control", "restarts", "bytes a second", s.RestartsPerDay/secondsPerDay*s.ClientAccounts*p.evaluate(SlopeConfigItemSize, 1), 0, "a starting entry reads through the quorum; members give deltas")
}

func (p *planner) addSteward() {
	s := &p.in.Size
	p.addRow("steward", "plans", "share of a core", p.evaluate(SlopeReconcileTime, s.BackendServers)/reconcileInterval, s.CPUBudget, "one holder a deployment")
}
