package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/refusal"
	"github.com/galenaarch/galenaarch/catalogue"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kvcache"
	"github.com/galenaarch/galenaarch/link"
	"github.com/galenaarch/galenaarch/routing"
)

const (
	// importTargetShare is the fraction of the first-token target that an
	// import may take.
	importTargetShare = 0.8
	// importSlack and importFactor derive an import's timeout from its expected
	// duration.
	importSlack  = 100 * time.Millisecond
	importFactor = 2
	// probeImportTimeout bounds an import from a store whose last transfer
	// failed.
	probeImportTimeout = 100 * time.Millisecond
	// leaseMargin is subtracted from a read lease to cover the delay until the
	// engine receives the request.
	leaseMargin = 200 * time.Millisecond
	// capacityPollInterval is the initial interval for checking whether a
	// server has capacity.
	capacityPollInterval = 20 * time.Millisecond
	// maxCapacityWait bounds the wait for capacity.
	maxCapacityWait = 2 * time.Minute
	// batchValueWeight is the value of time saved for the batch class relative
	// to the interactive class.
	batchValueWeight = 0.25
)

// routeDecision is a routing decision together with the routing epoch that it was
// made in. An epoch is one version of the routing table of the control plane. The
// decision holds its epoch: this entry acknowledges a newer epoch only once no
// request holds an older one, so the control plane knows when no more requests
// arrive by the older table.
type routeDecision struct {
	routing.Decision
	// release stops holding the routing epoch. It is idempotent; nil in the zero
	// value.
	release func()
}

// hasEligibleServer reports whether any untried server may run the prompt. As a
// side effect it computes the prompt's block keys for the weight version that
// would be used.
func (e *Entry) hasEligibleServer(p *prompt, tried []string, outputStarted bool) bool {
	view := e.config.Routes().Acquire()
	defer view.Release()
	g := e.candidates(p, view, outputStarted)
	return g != nil && len(excludeTried(g.servers, tried)) > 0
}

// selectServer picks a server and the blocks to import. It waits for a
// concurrent prefill of the same prefix and for server capacity. No routing
// epoch is held while it waits.
func (e *Entry) selectServer(ctx context.Context, p *prompt, tried []string, outputStarted bool) (routeDecision, *refusal.Error) {
	policy, err := e.policies.get(p.deployment.Name, p.deployment.Policy)
	if err != nil {
		return routeDecision{}, refusal.New(refusal.CodeNoBackendServer, "route prompt", "the routing policy is not linked in")
	}
	e.awaitPrefill(ctx, p)
	pick := func() routeDecision { return e.pick(ctx, p, policy, tried, outputStarted) }
	d := pick()
	if d.Server == nil {
		d = e.awaitCapacity(ctx, p, pick)
	}
	if d.Server == nil {
		return d, refusal.New(refusal.CodeOverloaded, "route prompt", "no backend server has room now")
	}
	return d, nil
}

// pick runs the policy once on the current candidates. The routing epoch is held
// from before the candidates are read; it is released if no server is picked.
func (e *Entry) pick(ctx context.Context, p *prompt, policy routing.Policy, tried []string, outputStarted bool) routeDecision {
	view := e.config.Routes().Acquire()
	d := routeDecision{release: sync.OnceFunc(view.Release)}
	if g := e.candidates(p, view, outputStarted); g != nil {
		d.Decision = e.runPolicy(ctx, p, policy, g, tried)
	}
	if d.Server == nil {
		d.release()
	}
	return d
}

// runPolicy builds the policy's input and runs it.
func (e *Entry) runPolicy(ctx context.Context, p *prompt, policy routing.Policy, g *serverGroup, tried []string) routing.Decision {
	locations := e.findStoredBlocks(ctx, p)
	now := time.Now()
	servers := fleet.Usable(excludeTried(g.servers, tried), now)
	if len(servers) == 0 {
		return routing.Decision{}
	}
	ratio := e.calibration.Ratio(p.deployment.Name)
	request := &routing.Request{
		Blocks:       p.blocks,
		StoredCopies: locations,
		PromptTokens: int(ratio * float64(p.tokens)),
		BlockTokens:  int(ratio * float64(p.deployment.BlockTokens)),
		Priority:     p.priority,
		Objective:    p.deployment.Objective,
		Links:        e.linkStates(p, now),
		Entries:      len(e.members.Members()),
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var buffer [64]routing.Candidate
	candidates := routing.SelectCandidates(buffer[:0], request, servers, tried, cacheHolders{Table: e.fleet, group: g, now: now}, random)
	d := policy.Pick(request, candidates, now, random)
	if d.Server != nil {
		p.importPlan = newImportPlan(p, request, d)
	}
	return d
}

// findStoredBlocks looks up stored copies of the prompt's blocks. A result is
// reused during the first half of its read lease.
func (e *Entry) findStoredBlocks(ctx context.Context, p *prompt) [][]kvcache.Location {
	if len(p.deployment.Stores) == 0 || len(p.blocks) == 0 || !e.routingConfirmed(time.Now()) {
		return nil
	}
	if p.lookup != nil && time.Since(p.lookup.requestedAt) < kvcache.ReadLeaseTTL/2 {
		return p.lookup.locations
	}
	weight := 1.0
	if p.priority == config.PriorityBatch {
		weight = batchValueWeight
	}
	requestedAt := time.Now()
	locations, value := e.catalogue.Lookup(ctx, &kvcache.LookupRequest{
		Keys: p.blocks, ClientAccount: p.scope.ClientAccount, Class: p.deployment.Name + "/" + string(p.priority), Weight: weight,
		Repeated: p.lookup != nil,
	})
	p.lookup = &blockLookup{locations: locations, requestedAt: requestedAt, value: value}
	return locations
}

// blockLookup is the catalogue's result for a prompt's blocks.
type blockLookup struct {
	locations [][]kvcache.Location
	// requestedAt is when the lookup was sent; read leases start then.
	requestedAt time.Time
	// value is the value per byte of retaining the blocks, as computed by the
	// retention policy; higher is better. The unit depends on the policy.
	value float64
}

// linkStates returns the states of the links to the deployment's context stores, by
// store.
func (e *Entry) linkStates(p *prompt, now time.Time) map[string]link.State {
	states := make(map[string]link.State, len(p.deployment.Stores))
	for _, name := range p.deployment.Stores {
		if l := e.links.Get(name); l != nil {
			states[name] = l.State(now)
		}
	}
	return states
}

// awaitCapacity polls until a server has capacity for the request. The poll
// interval shrinks with the time waited, which favors older requests.
func (e *Entry) awaitCapacity(ctx context.Context, p *prompt, pick func() routeDecision) routeDecision {
	ctx, cancel := context.WithTimeout(ctx, min(maxCapacityWait, p.firstTokenTimeout-time.Since(p.received)))
	defer cancel()
	for {
		waited := time.Since(p.received)
		select {
		case <-ctx.Done():
			return routeDecision{}
		case <-time.After(time.Duration(float64(capacityPollInterval) / (1 + waited.Seconds()))):
		}
		if d := pick(); d.Server != nil {
			return d
		}
	}
}

// engineBody returns the client's body with the fields that the engine needs.
func (e *Entry) engineBody(p *prompt) ([]byte, error) {
	body := p.body.Clone()
	transfer := backend.KVTransfer{BlockTokens: p.deployment.BlockTokens, WeightVersion: p.scope.WeightVersion}
	for _, k := range p.blocks {
		transfer.BlockKeys = append(transfer.BlockKeys, k.String())
	}
	if p.importPlan != nil {
		e.addImports(p, &transfer)
	}
	fields := []struct {
		name  string
		value any
	}{
		{"stream", true},
		{"stream_options", backend.StreamOptions{IncludeUsage: true}},
		{"priority", p.enginePriority()},
		{"cache_salt", p.scope.Salt()},
		{"kv_transfer_params", transfer},
	}
	for _, f := range fields {
		if err := body.Set(f.name, f.value); err != nil {
			return nil, err
		}
	}
	return body.Encode()
}

// addImports adds the stored copies that the engine may read. Copies of the
// prefix believed to be cached are included in case the engine has evicted it.
func (e *Entry) addImports(p *prompt, transfer *backend.KVTransfer) {
	for i, loc := range p.importPlan.sources {
		if loc == nil {
			continue
		}
		if store := p.request.view.Store(loc.Store); store != nil {
			transfer.Imports = append(transfer.Imports, backend.BlockSource{
				Key: p.blocks[i].String(), URL: catalogue.BlockURL(store.URL, p.blocks[i], *loc),
			})
		}
	}
	if len(transfer.Imports) == 0 {
		return
	}
	transfer.ImportTimeoutMS = p.importPlan.timeout.Milliseconds()
	// Invariant: nothing is read after the read lease ends. The lease starts
	// when the lookup is sent.
	left := kvcache.ReadLeaseTTL - leaseMargin - time.Since(p.lookup.requestedAt)
	transfer.ImportDeadlineMS = max(1, left.Milliseconds())
}
