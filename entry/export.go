package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/catalogue"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/kvcache"
	"github.com/galenaarch/galenaarch/link"
	"github.com/galenaarch/galenaarch/routing"
)

const (
	exportTimeout          = 10 * time.Second
	maxExportResponseBytes = 1 << 20
	// exportWorkers is the number of concurrent exports.
	exportWorkers = 4
	// exportBatchBlocks is the number of blocks written per grant of link
	// budget.
	exportBatchBlocks = 8
	// maxExportAttempts bounds how often a refused export is attempted;
	// exportRetryDelay is the delay between attempts.
	maxExportAttempts = 6
	exportRetryDelay  = 500 * time.Millisecond
	// maxBudgetWait bounds the wait for link budget, which is polled every
	// budgetPollInterval.
	maxBudgetWait      = 5 * time.Second
	budgetPollInterval = 50 * time.Millisecond
	// maxPendingExports bounds the export queue.
	maxPendingExports = 256
	// defaultBlockBytes is the assumed block size until a block has been
	// exported.
	defaultBlockBytes = 64 << 10
)

// recordRun records the metrics of a finished run and queues its blocks for
// export.
func (e *Entry) recordRun(p *prompt, d routing.Decision, usage *backend.Usage) {
	name := p.deployment.Name
	seen := e.seenBlocks.CountAndAdd(p.blocks) * p.deployment.BlockTokens
	reused := 0
	if usage != nil && usage.PromptTokensDetails != nil {
		reused = usage.PromptTokensDetails.CachedTokens + usage.PromptTokensDetails.ImportedTokens
		e.metrics.linkBytes.WithLabelValues("import").Add(float64(usage.PromptTokensDetails.ImportedBytes))
		e.calibration.Observe(name, p.tokens, usage.PromptTokens)
		if p.importPlan != nil && p.importPlan.decision.Server == d.Server {
			e.recordImport(p, p.importPlan, usage.PromptTokensDetails)
		}
	}
	e.metrics.promptTokens.WithLabelValues(name).Add(float64(p.tokens))
	e.metrics.recomputedTokens.WithLabelValues(name).Add(float64(max(0, seen-reused)))
	exportable := len(p.deployment.Stores) > 0 && len(p.blocks) > 0 && p.lookup != nil && e.routingConfirmed(time.Now())
	if e.checkRunVersion(p, d.Server, usage) && exportable {
		e.exports.add(&exportTask{prompt: p, server: d.Server, value: p.lookup.value, notBefore: time.Now()})
	}
}

// exportTask is a prompt whose blocks may be exported from an engine to a
// store.
type exportTask struct {
	prompt *prompt
	server *fleet.Server
	// value is the value per byte of retaining the blocks; see blockLookup.
	value float64
	// attempts counts the attempts made. The next one is not made before
	// notBefore.
	attempts  int
	notBefore time.Time
}

// exportQueue is a priority queue of exports, highest value first.
type exportQueue struct {
	// mu guards pending and writing. notify wakes a worker when a task is added.
	mu      sync.Mutex
	pending []*exportTask
	notify  chan struct{}
	// writing maps exports in progress to their value.
	writing map[*catalogue.ExportJob]float64
}

func newExportQueue() *exportQueue {
	return &exportQueue{notify: make(chan struct{}, 1), writing: make(map[*catalogue.ExportJob]float64)}
}

// beginWrite marks an export as being written.
func (q *exportQueue) beginWrite(job *catalogue.ExportJob, value float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing[job] = value
}

// endWrite removes the mark set by beginWrite.
func (q *exportQueue) endWrite(job *catalogue.ExportJob) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.writing, job)
}

// hasMoreValuableWrite reports whether an export of higher value is being written
// to the store.
func (q *exportQueue) hasMoreValuableWrite(store string, value float64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for job, other := range q.writing {
		if job.Store == store && other > value {
			return true
		}
	}
	return false
}

// add queues a task. It replaces a queued task with the same first block and no
// more blocks. If the queue is full, the task of lowest value is dropped.
func (q *exportQueue) add(task *exportTask) {
	q.mu.Lock()
	defer q.mu.Unlock()
	root := task.prompt.blocks[0]
	for i, other := range q.pending {
		if other.prompt.blocks[0] == root && len(other.prompt.blocks) <= len(task.prompt.blocks) {
			q.pending[i] = task
			return
		}
	}
	q.pending = append(q.pending, task)
	if len(q.pending) > maxPendingExports {
		q.remove(q.leastValuable())
	}
	select {
	case q.notify <- struct{}{}:
	default:
	}
}

// leastValuable returns the index of the queued task of lowest value. mu must be
// held.
func (q *exportQueue) leastValuable() int {
	lowest := 0
	for i, task := range q.pending {
		if task.value < q.pending[lowest].value {
			lowest = i
		}
	}
	return lowest
}

// remove removes the queued task with index i. mu must be held.
func (q *exportQueue) remove(i int) {
	last := len(q.pending) - 1
	q.pending[i], q.pending[last] = q.pending[last], nil
	q.pending = q.pending[:last]
}

// next removes and returns the due task of highest value, or nil.
func (q *exportQueue) next(now time.Time) *exportTask {
	q.mu.Lock()
	defer q.mu.Unlock()
	best := -1
	for i, task := range q.pending {
		if !task.notBefore.After(now) && (best < 0 || task.value > q.pending[best].value) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	task := q.pending[best]
	q.remove(best)
	return task
}

// startExporters starts the export workers, which run until ctx is done.
func (e *Entry) startExporters(ctx context.Context) {
	for range exportWorkers {
		go e.exportLoop(ctx)
	}
}

func (e *Entry) exportLoop(ctx context.Context) {
	ticker := time.NewTicker(budgetPollInterval)
	defer ticker.Stop()
	for {
		if task := e.exports.next(time.Now()); task != nil {
			e.exportBlocks(ctx, task)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-e.exports.notify:
		case <-ticker.C:
		}
	}
}

// exportBlocks makes an engine write the blocks that no store has yet, if the
// entry that owns the prefix in the catalogue accepts them.
func (e *Entry) exportBlocks(ctx context.Context, task *exportTask) {
	p := task.prompt
	if !e.engineHolds(task) {
		return
	}
	blockBytes := e.blockBytes.Load()
	if blockBytes == 0 {
		blockBytes = defaultBlockBytes
	}
	job, outcome := e.catalogue.Reserve(ctx, p.blocks, p.scope.ClientAccount, p.deployment.Stores, blockBytes)
	switch outcome {
	case catalogue.OutcomeRefused:
		e.requeueExport(task)
		return
	case catalogue.OutcomeComplete:
		return
	}
	sealed := e.writeBlocks(ctx, task.server, job, task.value)
	e.catalogue.Seal(ctx, job, sealed)
	if len(sealed) < len(job.Targets) {
		// Space that was to be freed for the remaining blocks may be available
		// later.
		e.requeueExport(task)
	}
}

// requeueExport queues a task again, up to maxExportAttempts.
func (e *Entry) requeueExport(task *exportTask) {
	if task.attempts++; task.attempts < maxExportAttempts {
		task.notBefore = time.Now().Add(exportRetryDelay)
		e.exports.add(task)
	}
}

// engineHolds reports whether the engine is believed to still have the blocks
// cached.
func (e *Entry) engineHolds(task *exportTask) bool {
	for _, prefix := range e.fleet.Prefixes(task.prompt.blocks, nil) {
		if prefix.View == task.server.Cache && prefix.Blocks > 0 {
			return true
		}
	}
	return false
}

// writeBlocks makes the engine write the blocks in batches, as the link budget
// allows, and returns those that were sealed.
func (e *Entry) writeBlocks(ctx context.Context, server *fleet.Server, job *catalogue.ExportJob, value float64) []backend.SealedBlock {
	e.exports.beginWrite(job, value)
	defer e.exports.endWrite(job)
	var sealed []backend.SealedBlock
	bytesPerBlock := job.Bytes / int64(len(job.Targets))
	for start := 0; start < len(job.Targets); start += exportBatchBlocks {
		batch := job.Targets[start:min(start+exportBatchBlocks, len(job.Targets))]
		if !e.awaitBudget(ctx, job.Store, bytesPerBlock*int64(len(batch)), value) {
			break
		}
		response, err := e.sendExport(ctx, server, &backend.ExportRequest{Blocks: batch})
		if err != nil {
			e.logger.Warn("export of KV blocks failed", slog.String("server", server.Server), slog.Any("error", err))
			break
		}
		sealed = append(sealed, response.Sealed...)
		for _, b := range response.Sealed {
			e.blockBytes.Store(b.Bytes)
			e.metrics.linkBytes.WithLabelValues("export").Add(float64(b.Bytes))
		}
		if response.Status == backend.StatusStoreUnreachable {
			e.links.Get(job.Store).ReportFailure(time.Now())
		}
		if response.Status != 0 || len(response.Sealed) < len(batch) {
			break
		}
	}
	return sealed
}

// awaitBudget waits for write budget on the store's link and takes it. Exports of
// higher value take precedence. It returns false if there is no budget within
// maxBudgetWait.
func (e *Entry) awaitBudget(ctx context.Context, store string, bytes int64, value float64) bool {
	deadline := time.Now().Add(maxBudgetWait)
	for {
		l := e.links.Get(store)
		if l == nil {
			return false
		}
		if !e.exports.hasMoreValuableWrite(store, value) && l.AllowWrite(bytes, time.Now()) {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(budgetPollInterval):
		}
	}
}

func (e *Entry) sendExport(ctx context.Context, server *fleet.Server, request *backend.ExportRequest) (*backend.ExportResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	raw, err := json.Marshal(request)
	if err != nil {
		return nil, eris.Wrap(err, "encode export request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/kv/export", bytes.NewReader(raw))
	if err != nil {
		return nil, eris.Wrapf(err, "build export request to %s", server.Server)
	}
	resp, err := e.engineClient.Do(req)
	if err != nil {
		return nil, eris.Wrapf(err, "send export request to %s", server.Server)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("export request to %s: status %d", server.Server, resp.StatusCode)
	}
	var response backend.ExportResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxExportResponseBytes)).Decode(&response); err != nil {
		return nil, eris.Wrapf(err, "decode export response from %s", server.Server)
	}
	return &response, nil
}

// syncStores passes the configured stores to the catalogue whenever the
// configuration or the number of entries has changed.
func (e *Entry) syncStores(ctx context.Context) {
	ticker := time.NewTicker(storeSyncInterval)
	defer ticker.Stop()
	var revision uint64
	members := 0
	for {
		view := e.config.View()
		if n := len(e.members.Members()); view.Revision != revision || n != members {
			revision, members = view.Revision, n
			e.catalogue.Configure(storesOf(view.Document.Stores))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// provisionKVCache creates the components that locate and transfer KV blocks.
func (e *Entry) provisionKVCache() error {
	name := e.settings.RetentionPolicy
	if name == "" {
		name = defaultRetentionPolicy
	}
	policy, err := kvcache.NewRetentionPolicy(name)
	if err != nil {
		return eris.Wrap(err, "create retention policy")
	}
	e.links = link.NewSet()
	e.catalogue = catalogue.New(catalogue.Settings{
		Self: e.node.Self().PeerURL, Environment: e.settings.Environment, Members: e.members, Control: e.control,
		PeerClient: e.transport.Client(), StoreClient: e.engineClient, Links: e.links, RetentionPolicy: policy, Logger: e.logger,
	})
	e.prefills, e.exports = newPrefills(), newExportQueue()
	return nil
}
