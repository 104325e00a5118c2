package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/kvcache"
	"github.com/galenaarch/galenaarch/link"
	"github.com/galenaarch/galenaarch/routing"
)

// importPlan describes which KV blocks an attempt imports and from where.
type importPlan struct {
	decision routing.Decision
	// sources holds the stored copy to read for each block; nil if there is
	// none.
	sources []*kvcache.Location
	// timeout bounds the import.
	timeout time.Duration
	// transfers holds the reads queued on links, by store.
	transfers map[string]*link.Transfer
}

// newImportPlan returns the plan of an attempt's import. Its timeout is derived from
// the expected duration of reading the blocks that are not cached.
func newImportPlan(p *prompt, r *routing.Request, d routing.Decision) *importPlan {
	plan := &importPlan{decision: d}
	end := d.CachedBlocks + d.ImportBlocks
	if end > 0 && len(r.StoredCopies) > 0 {
		plan.sources = make([]*kvcache.Location, end)
	}
	var seconds float64
	probing := false
	for i := range plan.sources {
		loc := routing.BestCopy(r, i)
		plan.sources[i] = loc
		if loc == nil || i < d.CachedBlocks {
			continue
		}
		l := r.Links[loc.Store]
		seconds += float64(loc.Bytes) / max(1, l.BytesPerSecond)
		probing = probing || l.Probing
		seconds = max(seconds, l.QueueSeconds())
	}
	plan.timeout = importTimeout(p, seconds, probing)
	return plan
}

// importTimeout returns the time limit of an import: the lowest of a multiple of
// its expected duration plus slack, importTargetShare of the first-token target
// and, if a store is being probed, probeImportTimeout.
func importTimeout(p *prompt, expectedSeconds float64, probing bool) time.Duration {
	limit := time.Duration(importTargetShare * float64(p.deployment.Objective.TimeToFirstToken.Std()))
	if probing {
		limit = min(limit, probeImportTimeout)
	}
	return min(limit, importSlack+importFactor*time.Duration(expectedSeconds*float64(time.Second)))
}

// beginTransfers queues the planned reads on their links.
func (e *Entry) beginTransfers(plan *importPlan) {
	if plan == nil {
		return
	}
	bytes := make(map[string]int64)
	for i, loc := range plan.sources {
		if loc != nil && i >= plan.decision.CachedBlocks {
			bytes[loc.Store] += loc.Bytes
		}
	}
	plan.transfers = make(map[string]*link.Transfer, len(bytes))
	for store, n := range bytes {
		if l := e.links.Get(store); l != nil {
			plan.transfers[store] = l.Begin(n)
		}
	}
}

// cancel removes unfinished reads from their links.
func (plan *importPlan) cancel() {
	if plan == nil {
		return
	}
	for _, t := range plan.transfers {
		t.Cancel()
	}
}

// recordImport updates the cache view, the links and the catalogue from what
// the engine found cached and how the import ended.
func (e *Entry) recordImport(p *prompt, plan *importPlan, u *backend.PromptTokensDetails) {
	blockTokens := max(1, p.deployment.BlockTokens)
	cached := u.CachedTokens / blockTokens
	plan.decision.Server.Cache.RecordHits(p.blocks[:min(plan.decision.CachedBlocks, len(p.blocks))], cached)
	importEnd := cached + u.ImportedTokens/blockTokens
	now := time.Now()
	failed := ""
	if u.ImportStatus != 0 && importEnd < len(plan.sources) && plan.sources[importEnd] != nil {
		loc := *plan.sources[importEnd]
		switch {
		case u.ImportStatus == http.StatusNotFound:
			go e.catalogue.ReportMissing(context.Background(), p.blocks[0], p.blocks[importEnd], loc)
		case u.ImportStatus != backend.StatusStoreTimeout || u.ImportedTokens == 0:
			failed = loc.Store
		}
	}
	duration := time.Duration(u.ImportMS) * time.Millisecond
	for store, t := range plan.transfers {
		switch {
		case store == failed:
			t.Fail(now)
		case u.ImportedBytes > 0:
			t.Complete(u.ImportedBytes/int64(len(plan.transfers)), duration, now)
		default:
			t.Cancel()
		}
	}
}

// recordPrefill is called at the first token of an attempt, when the engine has
// all blocks of the prompt.
func (e *Entry) recordPrefill(p *prompt, d routing.Decision) {
	d.Server.Cache.AddExpected(p.blocks)
	e.prefills.finish(p)
}
