package routing

// The cost policy is this project's own; the others are baselines for
// comparison.
func init() {
	registerPolicy("cost", pipelineSpec{filters: []string{"reserve"}, scorer: "cost", picker: "near_equal"})
	registerPolicy("round_robin", pipelineSpec{scorer: "none", picker: "in_turn"})
	registerPolicy("least_load", pipelineSpec{scorer: "load", picker: "least"})
	registerPolicy("prefix_affinity", pipelineSpec{scorer: "prefix", picker: "least"})
}
