package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/config/site"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/registry"
	"github.com/galenaarch/galenaarch/upstream"
)

const (
	// resumeTimeFactor, minResumeTime and maxResumeTime determine how long after its start a
	// client may resume a stream, over several attempts: a multiple of the longest timeout of
	// the routes of streams for one attempt, within bounds.
	resumeTimeFactor = 2
	minResumeTime    = 10 * time.Second
	maxResumeTime    = time.Minute
	// reannounceIntervals is after how many announcement intervals a server whose connection
	// broke is known to go on, to have restarted under its ID, or to announce nothing: the three
	// after which it is reported as silent, and one for the report to arrive.
	reannounceIntervals = 4
	// confirmVersionsTimeout bounds an exchange with all control instances: polls are interrupted up to
	// maxPollInterval = 300 ms late where there are many entry instances.
	confirmVersionsTimeout = 400 * time.Millisecond
	// confirmServerTimeout bounds an exchange with the control instances about a server. It is above the timeout of
	// a poll, after which one that does not respond is no longer waited for.
	confirmServerTimeout = 1500 * time.Millisecond
	// documentCheckInterval is the time between checks whether a document has arrived.
	documentCheckInterval = 10 * time.Millisecond
)

// longestResumeTime returns how long after its start a stream may be resumed. It is the same for
// all routes: instances that use different ones would not find what others have recorded.
func longestResumeTime(routes []site.Route) time.Duration {
	longest := minResumeTime
	for i := range routes {
		if r := &routes[i]; r.Kind == site.KindStream && r.Resumable {
			longest = max(longest, resumeTimeFactor*r.Timeout)
		}
	}
	return min(longest, maxResumeTime)
}

// resumed reports whether the client resumes a stream. A newer document may have withdrawn
// that from the route.
func (c *call) resumed() bool {
	return c.route.Kind == site.KindStream && c.request.LastEventID != ""
}

// How the software of a stream became known, as values in logs and label values of a metric.
const (
	softwareOwnRecord = "own record"
	softwareOnly      = "only version"
	softwareLookup    = "control instance"
	// No control instance has a record, as they would of a stream that a newer version began.
	softwareFirst = "first version"
	// There is no record: the control instances have none, they have not all responded in
	// time or before the client left, or too many streams are asked for.
	softwareUnknown     = "unknown"
	softwareNotAnswered = "not answered"
	softwareLimited     = "too many look-ups"
)

// bindResumed determines the software that began a stream which the client resumes, and the
// service with it. It returns the reason if the stream cannot go on.
//
// Invariant: a stream goes on only at servers of the service and software version that began
// it. What two versions write does not fit together, and servers do not check it.
func (c *call) bindResumed(ctx context.Context) rejectReason {
	startedAt := time.Now()
	c.stage = stageLookUp
	software, source := c.resumedSoftware(ctx)
	defer func() { c.gateway.metrics.resumed.WithLabelValues(source).Inc() }()
	if c.gateway.accessLogLimiter.Allow() {
		version := ""
		if software != nil {
			version = software.Version
		}
		c.gateway.logger.Info("stream resumed by its client", slog.String("request", c.request.ID), slog.String("began_as", c.request.BeganAs), slog.String("last_event", c.request.LastEventID),
			slog.String("software", version), slog.String("source", source), slog.Duration("took", time.Since(startedAt)))
	}
	if software == nil {
		return reasonSoftwareUnknown
	}
	c.software.Store(software)
	if source != softwareOwnRecord && c.request.BeganAs != "" {
		// The instance that began the stream may be gone.
		c.gateway.streams.add(c.streamDigest(c.request.BeganAs), software, c.gateway.routing.Load().resumeTime, c.mayBeAskedFor(startedAt))
	}
	reason := c.rebindService(software.Service)
	if reason == "" {
		c.state.noteResumed(software.Version, startedAt)
	}
	return reason
}

// resumedSoftware returns the software that began a resumed stream and how it became known;
// nil if it is not known.
func (c *call) resumedSoftware(ctx context.Context) (software *dispatch.Software, source string) {
	g := c.gateway
	digest := c.streamDigest(c.request.BeganAs)
	if c.request.BeganAs != "" {
		if software = g.streams.get(digest, time.Now()); software != nil {
			return software, softwareOwnRecord
		}
	}
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	if version, ok := c.confirmedOnlyVersion(ctx); ok {
		return &dispatch.Software{Service: c.service.Name, Version: version}, softwareOnly
	}
	if c.request.BeganAs == "" {
		return nil, softwareUnknown
	}
	if software, source = g.streams.lookUp(ctx, digest); source == softwareUnknown {
		if software = c.unrecordedSoftware(ctx, digest); software != nil {
			source = softwareFirst
		}
	}
	return software, source
}

// unrecordedSoftware returns the software that began a stream of which no control instance has a record; nil if it is
// not certain.
//
// Invariant: the first event of a stream that a newer version begins is passed on once its record is stored (noteBegin), so
// a stream without a record was begun by the version that was there before all others, at an instance that is gone, or
// stands still since before it heard of them. Versions that only a control instance which does not respond has heard of are newer.
func (c *call) unrecordedSoftware(ctx context.Context, digest registry.StreamDigest) *dispatch.Software {
	g, now := c.gateway, time.Now()
	if !g.view.ConfirmResponding(ctx, now) || !g.awaitDocument(ctx) || !c.leadsToOneService(now) {
		return nil
	}
	first, next, ok := g.view.Current().Software.First(c.service.Name, now)
	if !ok || !first.Serving {
		return nil
	}
	// Streams that began before are no longer resumed, those of newer versions began later.
	since := now.Add(-g.routing.Load().resumeTime)
	if begin := next.Add(-dispatch.VersionGap); begin.After(since) {
		since = begin
	}
	software, missing := g.streams.isRecorded(ctx, digest, since)
	if missing {
		software = &dispatch.Software{Service: c.service.Name, Version: first.Version}
	}
	return software
}

// leadsToOneService reports whether all streams of the route that a client may still resume were begun by one service.
func (c *call) leadsToOneService(now time.Time) bool {
	rs := c.gateway.routing.Load()
	return len(targetServices(c.route)) == 1 && now.Sub(rs.movedRoutes[c.route.Name]) >= rs.resumeTime
}

// onlyVersion returns the software version that began each stream of the route which a client may
// still resume. ok is false if there may be several, or several services.
func (c *call) onlyVersion(now time.Time) (version string, ok bool) {
	if !c.leadsToOneService(now) {
		return "", false
	}
	return c.gateway.view.Current().Software.Only(c.service.Name, c.gateway.routing.Load().resumeTime, now)
}

// confirmedOnlyVersion is onlyVersion as of now: this instance may have stood still or been cut off
// while servers of another version joined, or a document moved the route.
func (c *call) confirmedOnlyVersion(ctx context.Context) (version string, ok bool) {
	now := time.Now()
	if _, ok = c.onlyVersion(now); !ok && c.gateway.view.Current().Software.IsComplete() {
		return "", false
	}
	ctx, cancel := context.WithTimeout(ctx, confirmVersionsTimeout)
	defer cancel()
	if !c.gateway.view.Confirm(ctx, now) || !c.gateway.awaitDocument(ctx) {
		return "", false
	}
	c.confirmedAt = now
	return c.onlyVersion(time.Now())
}

// awaitDocument waits until the newest site document of which a control instance has told has been
// examined. It returns false if ctx ends before.
func (g *Gateway) awaitDocument(ctx context.Context) bool {
	newest := g.view.NewestVersion(site.DocumentName)
	for g.routing.Load().examinedDocument < newest {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(documentCheckInterval):
		}
	}
	return true
}

// mayBeAskedFor reports whether another instance, or one that starts, may have to ask for the
// record of a stream that begins now.
func (c *call) mayBeAskedFor(now time.Time) bool {
	_, only := c.onlyVersion(now)
	return !only || c.gateway.view.Current().Software.MayDiffer(c.service.Name, c.gateway.routing.Load().resumeTime, now)
}

// noteMovedRoutes records the routes of streams that lead to other services than before, and
// reports whether there are any. Streams that began before may still be resumed.
func (rs *routingState) noteMovedRoutes(old *routingState, now time.Time) (moved bool) {
	rs.resumeTime, rs.movedRoutes = longestResumeTime(rs.table.Routes), make(map[string]time.Time)
	if old == nil || old.table == nil {
		return false
	}
	for name, at := range old.movedRoutes {
		if now.Sub(at) < maxResumeTime {
			rs.movedRoutes[name] = at
		}
	}
	if rs.table == old.table {
		return false
	}
	for i := range rs.table.Routes {
		r := &rs.table.Routes[i]
		before := old.table.Route(r.Host, r.PathPrefix)
		if r.Kind == site.KindStream && before != nil && !slices.Equal(targetServices(r), targetServices(before)) {
			rs.movedRoutes[r.Name], moved = now, true
		}
	}
	return moved
}

// targetServices returns the services to which a route leads, in order.
func targetServices(r *site.Route) (services []string) {
	for _, target := range r.Targets {
		if target.Weight > 0 {
			services = append(services, target.Service)
		}
	}
	slices.Sort(services)
	return services
}

// rebindService replaces the service of a resumed stream by the one that began it. It returns
// the reason if the route no longer leads there.
func (c *call) rebindService(name string) rejectReason {
	if name == c.service.Name {
		return ""
	}
	for _, target := range c.route.Targets {
		if target.Service == name && target.Weight > 0 {
			c.setService(c.routing.table.Service(name))
			return ""
		}
	}
	return reasonNoSameSoftware
}

// errNotRecorded reports a stream that a newer software version began and whose record no control instance has
// stored: if this instance failed, the stream would be taken for one of the first version.
var errNotRecorded = errors.New("record of the stream is not stored")

// noteBegin binds a stream to the software of the server whose first event is passed on, and
// records it for the client's further attempts. While no control instance hears of the server, it
// may have started again with other software: its streams are bound, and recorded, as of an unknown
// one, so that they go on nowhere. A broken connection alone is no reason for that: most servers go on.
//
// It returns errNotRecorded if the stream must not begin at this server. Where only newer versions serve, streams begin
// without a stored record: they could go on nowhere else.
func (c *call) noteBegin(ctx context.Context, b *backend) error {
	if !c.route.Resumable || c.software.Load() != nil {
		return nil
	}
	now := time.Now()
	software, digest, resumeTime := b.runs(), c.streamDigest(c.request.ID), c.gateway.routing.Load().resumeTime
	if b.unreported() && !c.onlyVersionOf(b.service.Name, now) {
		software = &dispatch.Software{Service: b.service.Name, Version: dispatch.UnknownVersion}
	}
	fleet := c.gateway.view.Current()
	if newer, olderServes := fleet.Software.IsNewer(*software, now); !newer && fleet.Software.IsComplete() {
		c.gateway.streams.add(digest, software, resumeTime, c.mayBeAskedFor(now))
	} else if !c.gateway.streams.store(ctx, digest, software, resumeTime) && (olderServes || (software.Version == dispatch.UnknownVersion && fleet.KnownControls > 0)) {
		c.unstored = true
		c.gateway.metrics.unstored.Inc()
		return errNotRecorded
	}
	c.software.Store(software)
	if software.Version != dispatch.UnknownVersion {
		c.gateway.metrics.begun.WithLabelValues(software.Service, software.Version).Inc()
	}
	return nil
}

// mayBeginAt reports whether a stream may begin at a server: while records cannot be stored, not at one of a newer
// software version than others that serve. The caller holds the state's lock.
func (c *call) mayBeginAt(b *backend, now time.Time) bool {
	if !c.bindable() || (!c.unstored && c.gateway.view.Current().ReachableControls > 0) {
		return true
	}
	_, olderServes := c.gateway.view.Current().Software.IsNewer(*b.runs(), now)
	return !olderServes
}

// noteForwardedBegin binds a stream that began at another instance, which has recorded it.
func (c *call) noteForwardedBegin(f *forwardResult) {
	if !c.route.Resumable || c.software.Load() != nil {
		return
	}
	software := f.software
	if software == nil {
		software = &dispatch.Software{Service: c.service.Name, Version: dispatch.UnknownVersion}
	}
	c.software.Store(software)
}

// onlyVersionOf reports whether no version of a service but one may have begun a stream that is
// resumed.
func (c *call) onlyVersionOf(service string, now time.Time) bool {
	_, only := c.gateway.view.Current().Software.Only(service, c.gateway.routing.Load().resumeTime, now)
	return only
}

// mayContinueAt reports whether a request may be sent to a server: a stream that has begun only
// to one that surely runs the same software. The caller holds the state's lock.
//
// That it may run other software than it announced is checked over the connection while the service has one
// version only.
func (c *call) mayContinueAt(b *backend, now time.Time) bool {
	software := c.software.Load()
	if software == nil {
		return c.mayBeginAt(b, now)
	}
	if *b.runs() != *software {
		return false
	}
	return c.onlyVersionOf(software.Service, now) || !b.mayHaveRestarted(reannounceIntervals*c.gateway.announceInterval, now)
}

// boundElsewhere reports whether servers of the service exist, but none that runs the software
// which began the stream.
func (c *call) boundElsewhere() bool {
	software := c.software.Load()
	if software == nil {
		return false
	}
	servers := c.gateway.routing.Load().services[c.service.Name]
	for _, b := range servers {
		if *b.runs() == *software {
			return false
		}
	}
	return len(servers) > 0
}

// softwareVersion returns the version that the stream is bound to, empty if it is not bound.
func (c *call) softwareVersion() string {
	if software := c.software.Load(); software != nil {
		return software.Version
	}
	return ""
}

// errOtherIncarnation reports a server that has restarted under its ID since it was announced.
var errOtherIncarnation = errors.New("server is another incarnation than the one announced")

// identification returns what proves, before a stream goes on at a server, that it is the
// incarnation whose software is known. A stream that begins is bound to that software, so it needs the
// proof as well while there may be several versions; a server is asked once for all of them, as they are many. It is nil
// for other requests, and for servers that do not say which incarnation they are.
//
// That one version only is known is no reason to go on without it: this instance may be late.
func (c *call) identification(b *backend) *upstream.Identification {
	software := c.software.Load()
	switch {
	case !b.statesStart():
		return nil
	case software == nil && (!c.bindable() || c.onlyVersionOf(b.service.Name, time.Now())):
		return nil
	}
	dialect := c.gateway.dialect
	target, header := dialect.IdentifyServer(b.server)
	return &upstream.Identification{
		Request:     upstream.Request{Method: http.MethodGet, Target: target, Host: b.address, Header: header},
		OncePerPool: software == nil,
		Verify:      func(status int, body []byte) error { return verifyStart(dialect, b.startedMs, status, body) },
	}
}

// statesStart reports whether the server says, when it is asked, which incarnation it is.
func (b *backend) statesStart() bool { return b.startedMs != 0 && b.service.Engine != nil }

// errNotConfirmed reports a server that may be another incarnation than the one announced: the control
// instances that could know did not respond in time, or list it no longer.
var errNotConfirmed = errors.New("incarnation of the server is not confirmed")

// confirmation returns what is checked, over a connection to a server that does not say which incarnation it
// is, before a stream goes on there: that it shows no sign of an end after which it could not have been announced
// yet, and that no other one has been announced, as of now or as of reannounceIntervals after the connection was
// opened. It is nil for other requests.
//
// That the server was known before is no reason to go on without it: an instance that had no connection sees
// nothing of a restart, and may hear of it late. A restart that neither shows nor has been announced is not noticed.
// A stream that its client resumes is rejected if the control instances do not respond: its server may be the one
// that restarted. One that goes on within its response is not: it has left its server for another one.
func (c *call) confirmation(b *backend) func(ctx context.Context, openedAt time.Time) error {
	if c.software.Load() == nil || b.statesStart() {
		return nil
	}
	return func(ctx context.Context, openedAt time.Time) error {
		g := c.gateway
		if c.mayNotBeAnnounced(b, time.Now()) {
			return errNotConfirmed
		}
		if c.confirmedAt.IsZero() && g.view.KnownAsOf().Sub(openedAt) < reannounceIntervals*g.announceInterval {
			now, limit := time.Now(), confirmServerTimeout
			if !c.resumed() {
				limit = confirmVersionsTimeout
			}
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			if c.unconfirmed || !g.view.ConfirmResponding(ctx, now) {
				c.unconfirmed = true
				if c.resumed() {
					return errNotConfirmed
				}
			} else {
				c.confirmedAt = now
			}
		}
		a := g.view.Current().Servers[b.server]
		switch {
		case a == nil:
			return errNotConfirmed
		case a.BornUnixMs != b.startedMs || a.Address != b.address || a.Software != b.software.Version || a.State == fleetv1.ServerState_SERVER_STATE_GONE:
			return errOtherIncarnation
		}
		return nil
	}
}

// mayNotBeAnnounced reports whether a server may have started again with other software, and not been announced
// since. While one version is known a restart with another one is unlikely: a connection that
// the server closed is then no reason to reject streams, as one that it refused or reset is.
func (c *call) mayNotBeAnnounced(b *backend, now time.Time) bool {
	endedAt := b.pool.LostAt()
	if c.onlyVersionOf(b.service.Name, now) {
		endedAt = b.pool.EndedAt()
	}
	return now.Sub(endedAt) < reannounceIntervals*c.gateway.announceInterval
}

// bindable reports whether the request begins a stream that may be resumed.
func (c *call) bindable() bool { return c.route.Kind == site.KindStream && c.route.Resumable }

// verifyStart returns an error unless the response to an identification is that of the incarnation
// with the start. A server that does not state its start is trusted.
func verifyStart(dialect Dialect, startedMs int64, status int, body []byte) error {
	switch status {
	case http.StatusOK:
	case http.StatusMisdirectedRequest:
		return errOtherIncarnation
	default:
		return fmt.Errorf("response to the identification has status %d", status)
	}
	stated, err := dialect.DecodeStart(body)
	if err == nil && stated != 0 && stated != startedMs {
		err = errOtherIncarnation
	}
	return err
}
