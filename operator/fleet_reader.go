package operator

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/evacuation"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/kernel/settings"
)

// Reading the fleet.
const (
	// fleetSettleTime is how long control instances that do not respond are waited for while a
	// majority has responded.
	fleetSettleTime = time.Second
	// maxEntryCalls bounds the entry instances that are asked at once.
	maxEntryCalls = 32
)

// fleetReader follows the control instances while a command runs.
type fleetReader struct {
	view   *fleetview.View
	client *http.Client
	stop   context.CancelFunc
}

// readFleet starts to follow the control instances, and returns once a majority has responded.
func (cli *CLI) readFleet(ctx context.Context) (*fleetReader, error) {
	if cli.output != outputText && cli.output != outputJSON {
		return nil, usageError("-output: %q: expected text or json", cli.output)
	}
	client, err := cli.httpClient()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	f := &fleetReader{view: fleetview.New(settings.SplitList(cli.controlURLs), nil, client, slog.New(slog.DiscardHandler)), client: client, stop: stop}
	f.view.Start(ctx)
	startedAt := time.Now()
	for {
		changed := f.view.Changed()
		now := time.Now()
		if f.settled(now.Sub(startedAt)) {
			return f, nil
		}
		wait := fleetSettleTime
		if left := startedAt.Add(fleetSettleTime).Sub(now); left > 0 {
			wait = left
		}
		select {
		case <-ctx.Done():
			stop()
			return nil, unavailableError(ctx.Err())
		case <-changed:
		case <-time.After(wait):
			if now.Sub(startedAt) > cli.timeout {
				stop()
				return nil, unavailableError(errors.New("no majority of the control instances has responded"))
			}
		}
	}
}

// settled reports whether enough control instances have responded, after the given time.
func (f *fleetReader) settled(elapsed time.Duration) bool {
	s := f.view.Current()
	switch {
	case s.ReachableControls == 0 || len(s.Awaited) > 0:
		return false
	case s.ReachableControls == s.KnownControls:
		return true
	}
	return 2*s.ReachableControls > s.KnownControls && elapsed >= fleetSettleTime
}

// orders returns the newest orders on failure domains.
func (f *fleetReader) orders() evacuation.Orders {
	return evacuation.FromDocuments(f.view.Current().Documents)
}

// domains returns the failure domains of the listed servers and entry instances.
func (f *fleetReader) domains() map[string]bool {
	known, s := make(map[string]bool), f.view.Current()
	for _, a := range s.Servers {
		known[a.Zone] = true
	}
	for _, e := range s.Entries {
		known[e.Zone] = true
	}
	delete(known, "")
	return known
}

// work asks all listed entry instances for their work, at one failure domain or at all. The result
// of one that does not respond is nil.
func (f *fleetReader) work(ctx context.Context, timeout time.Duration, domain string) []*fleetv1.GetDomainWorkResponse {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	entries := slices.Collect(maps.Values(f.view.Current().Entries))
	results := make([]*fleetv1.GetDomainWorkResponse, len(entries))
	var calls sync.WaitGroup
	turns := make(chan struct{}, maxEntryCalls)
	for i, e := range entries {
		calls.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			response, err := fleetv1.NewEntriesProtobufClient(e.PeerUrl, f.client).GetDomainWork(ctx, &fleetv1.GetDomainWorkRequest{Domain: domain})
			if err == nil {
				results[i] = response
			}
		})
	}
	calls.Wait()
	return results
}

// progress returns how far a failure domain has been emptied by a version of the order.
func (f *fleetReader) progress(ctx context.Context, timeout time.Duration, domain string, version uint64) *emptyingProgress {
	progress := &emptyingProgress{busy: make(map[string]bool)}
	for _, response := range f.work(ctx, timeout, domain) {
		progress.entries++
		if response == nil {
			progress.silent++
			continue
		}
		for _, work := range response.Domains {
			if work.EvacuationVersion < version {
				progress.behind++
			}
			progress.requests += uint64(work.Requests)
			for _, server := range work.Busy {
				progress.busy[server] = true
			}
		}
	}
	return progress
}

// zones reports on all failure domains that have servers, entry instances or an order.
func (f *fleetReader) zones(ctx context.Context, timeout time.Duration) []*zoneReport {
	byName, orders := make(map[string]*zoneReport), f.orders()
	report := func(domain string) *zoneReport {
		if byName[domain] == nil {
			byName[domain] = &zoneReport{Domain: domain}
		}
		return byName[domain]
	}
	for domain := range f.domains() {
		report(domain)
	}
	for domain, order := range orders {
		r := report(domain)
		r.Emptied, r.Version, r.Author = order.InForce(), order.Version, order.Author
		if !order.OrderedAt.IsZero() {
			r.OrderedAt = order.OrderedAt.UTC().Format(time.RFC3339)
		}
	}
	for _, a := range f.view.Current().Servers {
		if a.State != fleetv1.ServerState_SERVER_STATE_GONE && a.Zone != "" {
			report(a.Zone).Servers++
		}
	}
	silent := 0
	for _, response := range f.work(ctx, timeout, "") {
		if response == nil {
			silent++
			continue
		}
		for _, work := range response.Domains {
			report(work.Domain).Requests += uint64(work.Requests)
		}
	}
	reports := make([]*zoneReport, 0, len(byName))
	for _, domain := range slices.Sorted(maps.Keys(byName)) {
		byName[domain].Silent = silent
		reports = append(reports, byName[domain])
	}
	return reports
}
