package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/adapters"
	"github.com/galenaarch/galenaarch/fleet"
)

// reportPollInterval is the interval for updating the set of servers to read,
// and the minimum interval for reading one.
const reportPollInterval = 50 * time.Millisecond

// pollReports runs one reader for each announced engine whose reports this
// entry reads.
func (e *Entry) pollReports(ctx context.Context) {
	readers := make(map[*fleet.Server]context.CancelFunc)
	ticker := time.NewTicker(reportPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.syncReaders(ctx, readers)
		}
	}
}

func (e *Entry) syncReaders(ctx context.Context, readers map[*fleet.Server]context.CancelFunc) {
	current := make(map[*fleet.Server]bool)
	for _, s := range e.fleet.All() {
		if s.Deployment == "" || !e.readsReports(s) {
			continue
		}
		current[s] = true
		if _, ok := readers[s]; ok {
			continue
		}
		readCtx, cancel := context.WithCancel(ctx)
		readers[s] = cancel
		go e.readReports(readCtx, s)
	}
	for s, cancel := range readers {
		if !current[s] {
			cancel()
			delete(readers, s)
		}
	}
}

// readReports reads one server's load and cache events until ctx is done.
func (e *Entry) readReports(ctx context.Context, s *fleet.Server) {
	reader := reportReader{entry: e, server: s}
	for ctx.Err() == nil {
		kind := e.config.View().ServerKind(s.Kind)
		interval := reportPollInterval
		if kind != nil {
			interval = max(kind.ReportInterval.Std(), reportPollInterval)
			reader.readOnce(ctx, kind.Adapter)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// reportReader reads one server's reports. A faulty report must neither crash
// the entry nor block the readers of other servers.
type reportReader struct {
	entry  *Entry
	server *fleet.Server
	// needsFullListing is true if reading the last cache events failed, so that
	// a full listing must be requested.
	needsFullListing bool
}

func (r *reportReader) readOnce(ctx context.Context, adapterName string) {
	defer func() {
		if recovered := recover(); recovered != nil {
			r.entry.logger.Error("adapter panicked", slog.String("server", r.server.Server),
				slog.String("adapter", adapterName), slog.Any("fault", recovered))
		}
	}()
	adapter, err := adapters.New(adapterName)
	if err != nil {
		r.entry.logger.Error("adapter not available", slog.String("server", r.server.Server), slog.Any("error", err))
		return
	}
	r.readLoad(ctx, adapter)
	r.readEvents(ctx, adapter)
}

func (r *reportReader) readLoad(ctx context.Context, adapter adapters.Adapter) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	load, err := adapter.FetchLoad(ctx, r.entry.engineClient, r.server.URL)
	if err != nil {
		r.entry.logger.Warn("failed to read load", slog.String("server", r.server.Server), slog.Any("error", err))
		return
	}
	r.server.SetLoad(load)
}

// readEvents has its own timeout: a load request that hangs must not block the
// cache events.
func (r *reportReader) readEvents(ctx context.Context, adapter adapters.Adapter) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_, last, suspect := r.server.Cache.Position()
	page, err := adapter.FetchCacheEvents(ctx, r.entry.engineClient, r.server.URL, last, suspect || r.needsFullListing)
	r.needsFullListing = err != nil
	if err != nil {
		r.entry.logger.Warn("failed to read cache events", slog.String("server", r.server.Server), slog.Any("error", err))
		return
	}
	r.server.Cache.Apply(page, time.Now())
}
