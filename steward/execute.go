package steward

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
)

// errLeaseTooShort reports an order that was not sent because it could have
// ended after the lease.
var errLeaseTooShort = errors.New("lease expires too soon to send a load order")

// refusal is a server's rejection of an order.
type refusal struct {
	orderID string
	reason  string
}

// commit writes the plan's routes to the control plane under the lease and
// returns the servers whose load the control plane did not permit.
func (d *Driver) commit(ctx context.Context, input *PlanInput, plan *Plan, l *leaseState, status *controlv1.GetStatusResponse) ([]string, error) {
	drains := changedDrains(plan.Drains, status.Drains)
	if len(plan.RouteUpserts)+len(plan.RouteRemovals)+len(drains) == 0 && plan.DeploymentRoute == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := d.Control.UpdateRouting(ctx, &controlv1.UpdateRoutingRequest{
		Environment:   d.Environment,
		Deployment:    input.Deployment.Name,
		Holder:        d.Instance,
		FencingNumber: l.grant.FencingNumber,
		Upserts:       plan.RouteUpserts,
		Removes:       plan.RouteRemovals,
		Route:         plan.DeploymentRoute,
		MaxLoads:      uint32(input.WeightStore.ConcurrentLoads),
		Drains:        drains,
	})
	if err != nil {
		return nil, eris.Wrap(err, "commit server routes")
	}
	if !response.Accepted {
		return nil, eris.Errorf("server routes rejected: %s", response.Reason)
	}
	if len(plan.RouteUpserts) > 0 {
		d.lastChange = time.Now()
	}
	for _, route := range plan.RouteUpserts {
		d.Logger.Info("server route committed", slog.String("server", route.Server), slog.String("state", route.State.String()),
			slog.String("version", route.WeightVersion), slog.String("reason", route.Reason), slog.Uint64("epoch", response.Epoch))
	}
	return response.RefusedLoads, nil
}

// changedDrains removes progress that the control plane already has.
func changedDrains(progress []*controlv1.DrainProgress, reported []*controlv1.DrainStatus) []*controlv1.DrainProgress {
	return slices.DeleteFunc(progress, func(p *controlv1.DrainProgress) bool {
		for _, d := range reported {
			for _, previous := range d.Progress {
				if previous.Target == p.Target && previous.Name == p.Name && previous.Deployment == p.Deployment {
					return previous.Matched == p.Matched && previous.Held == p.Held && previous.Drained == p.Drained && previous.Note == p.Note
				}
			}
		}
		return false
	})
}

// sendOrders sends the orders of committed server routes concurrently and waits
// for the responses.
func (d *Driver) sendOrders(ctx context.Context, orders []Order, l *leaseState) {
	var wg sync.WaitGroup
	for _, o := range orders {
		wg.Go(func() {
			status, err := d.sendOrder(ctx, o, l)
			outcome := http.StatusText(status)
			if err != nil {
				outcome = "none"
				d.warn(ctx, "load order got no response", o.Deployment, err)
			}
			d.Metrics.orders.WithLabelValues(o.Deployment, outcome).Inc()
			l.recordResponse(o, status)
		})
	}
	wg.Wait()
}

// sendOrder sends an order with the fencing number of the lease and returns the
// HTTP status of the response, 0 if there is none.
func (d *Driver) sendOrder(ctx context.Context, o Order, l *leaseState) (int, error) {
	now := time.Now()
	grant := l.lease.Grant(now)
	// Invariant: an order ends before the lease does, so that a next holder
	// that waits for orders in flight is never overtaken by one.
	if grant == nil || now.Add(orderTimeout).After(grant.Deadline()) {
		return 0, errLeaseTooShort
	}
	o.FencingNumber = grant.FencingNumber
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	status, err := d.Backends.Load(ctx, o.URL, &o.LoadOrder)
	d.Logger.Info("load order sent", slog.String("server", o.Server), slog.String("order_id", o.OrderID), slog.Int("status", status))
	return status, err
}

// recordResponse records a refusal. If the server is busy or knows a higher
// fencing number, the order is retried instead.
func (l *leaseState) recordResponse(o Order, status int) {
	switch status {
	case 0, http.StatusOK, http.StatusAccepted, http.StatusLocked, http.StatusConflict, http.StatusServiceUnavailable:
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals[o.Server] = refusal{orderID: o.OrderID, reason: fmt.Sprintf("the order was refused with status %d", status)}
}

// startProbes starts probes in the background, so that they do not delay
// reconciliation.
func (d *Driver) startProbes(ctx context.Context, dep *config.Deployment, input *PlanInput, names []string, l *leaseState) {
	for _, name := range names {
		i := slices.IndexFunc(input.Servers, func(s Server) bool { return s.Server == name })
		order := input.ServerRoutes[name].GetOrderId()
		if i < 0 || !l.startProbe(name) {
			continue
		}
		url := input.Servers[i].URL
		version := input.ServerRoutes[name].WeightVersion
		go func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			l.endProbe(name, order, d.Backends.Probe(ctx, url, dep.Model, version))
		}()
	}
}

// startProbe marks a probe of the server as in progress. It returns false if one
// already is.
func (l *leaseState) startProbe(server string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.probesInFlight[server] {
		return false
	}
	l.probesInFlight[server] = true
	return true
}

// endProbe stores the result of a probe; a nil err means success.
func (l *leaseState) endProbe(server, orderID string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.probesInFlight, server)
	result := ProbeResult{OrderID: orderID}
	if err != nil {
		result.FailureReason = err.Error()
	}
	l.probes[server] = result
}

// rollBack declares an earlier weight version, by compare-and-set on the active
// revision. Its change ID is the same for every steward and attempt, which
// makes it idempotent.
func (d *Driver) rollBack(ctx context.Context, view *config.View, dep *config.Deployment, version string) error {
	if version == "" {
		return nil
	}
	rollback := *dep
	rollback.WeightVersion = version
	items, err := config.Items(&config.Document{Environment: d.Environment, Deployments: []config.Deployment{rollback}})
	if err != nil {
		return eris.Wrap(err, "encode rollback")
	}
	items = slices.DeleteFunc(items, func(item *controlv1.ConfigItem) bool { return item.Kind != config.KindDeployment })
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := d.Control.ApplyConfig(ctx, &controlv1.ApplyConfigRequest{
		Environment:      d.Environment,
		ExpectedRevision: view.Revision,
		ChangeId:         fmt.Sprintf("steward/roll-back/%s/%s/%d", dep.Name, dep.WeightVersion, view.Revision),
		Upserts:          items,
		Author:           d.Instance,
		Comment:          fmt.Sprintf("roll back %s from %s to %s: its first servers failed", dep.Name, dep.WeightVersion, version),
	})
	if err != nil {
		return eris.Wrap(err, "roll back")
	}
	d.Logger.Warn("deployment rolled back", slog.String("deployment", dep.Name), slog.String("version", version),
		slog.Bool("accepted", response.Accepted), slog.String("reason", response.Reason))
	return nil
}
