package registrar

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/evacuation"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/kernel/settings"
)

// Evacuate orders that no request be sent to the backend servers of a failure domain.
func (r *Registrar) Evacuate(ctx context.Context, domain, author string) error {
	return r.applyEvacuation(ctx, domain, true, author)
}

// EndEvacuation withdraws the order on a failure domain.
func (r *Registrar) EndEvacuation(ctx context.Context, domain, author string) error {
	return r.applyEvacuation(ctx, domain, false, author)
}

// applyEvacuation records an order at the leader. All its calls together are bounded by operatorTimeout.
func (r *Registrar) applyEvacuation(ctx context.Context, domain string, empty bool, author string) error {
	known := knownDomains(r.settings.FailureDomains, r.view.Current())
	if err := evacuation.CheckKnown(domain, known, r.localEvacuations()); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	startedAt := time.Now()
	version, err := evacuation.Apply(ctx, r, domain, empty, author, startedAt)
	level := slog.LevelInfo
	if err != nil {
		level = slog.LevelWarn
	}
	r.logger.LogAttrs(ctx, level, "evacuation ordered", slog.String("domain", domain), slog.Bool("empty", empty), slog.String("author", author), slog.Uint64("version", version),
		slog.Duration("took", time.Since(startedAt)), slog.Any("error", err))
	return err
}

// localEvacuations returns the newest orders that the replica of this process has applied.
func (r *Registrar) localEvacuations() evacuation.Orders {
	documents := make(map[string]*controlv1.PublishedDocument)
	if log := r.replica.Log(); log != nil {
		log.ReadLocal(func(st *state.State) {
			for _, d := range st.PublishedWithPrefix(site.EvacuationPrefix) {
				documents[d.Name] = d
			}
		})
	}
	return evacuation.FromDocuments(documents)
}

// knownDomains returns the failure domains of the settings, and those of the listed servers and
// entry instances.
func knownDomains(configured string, s *fleetview.Snapshot) map[string]bool {
	known := make(map[string]bool)
	for _, domain := range settings.SplitList(configured) {
		known[domain] = true
	}
	for _, a := range s.Servers {
		known[a.Zone] = true
	}
	for _, e := range s.Entries {
		known[e.Zone] = true
	}
	delete(known, "")
	return known
}
