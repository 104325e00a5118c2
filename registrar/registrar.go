package registrar

import (
	"context"
	"errors"
	"flag"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/contextrelay"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/control"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/evacuation"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/httpclient"
	"github.com/galenaarch/galenaarch/httpserver"
	"github.com/galenaarch/galenaarch/intake"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/registry"
	"github.com/galenaarch/galenaarch/weights"
)

// Timing of a registrar.
const (
	// operatorTimeout bounds an operator's request. Operators try another
	// instance after one second without a response.
	operatorTimeout = 900 * time.Millisecond
	// leaderTimeout bounds one request to the leader.
	leaderTimeout       = 600 * time.Millisecond
	leaderRetryInterval = 40 * time.Millisecond
	// directoryTTL is how long clients cache a directory response; some keep it
	// three times as long. It is short compared with the time for which a
	// stopping instance still serves.
	directoryTTL = time.Second
	// dialTimeout is below the one second after which a lost SYN packet is
	// retransmitted.
	dialTimeout = 300 * time.Millisecond
	// drainTimeout bounds the wait for requests in progress when the process stops; it is
	// above operatorTimeout. The wait ends after drainQuietPeriod without a request.
	drainTimeout     = time.Second
	drainQuietPeriod = 100 * time.Millisecond
	// closeTimeout is how long requests that arrive while the process stops get to be answered.
	closeTimeout = 50 * time.Millisecond
	// feedDrainTimeout bounds the wait for entry instances, of which one may just have ended.
	feedDrainTimeout = 300 * time.Millisecond
)

// Names of listeners in metrics.
const (
	listenerOperators = "operators"
	listenerDirectory = "directory"
)

// Settings of a registrar.
type Settings struct {
	// Platform names the platform module; empty for none.
	Platform string
	// Listen is the address for operators and backend servers, DirectoryListen
	// the one for clients.
	Listen, DirectoryListen string
	// AnnounceInterval is the interval at which servers announce themselves.
	AnnounceInterval time.Duration
	// OrderLease is how long weight orders of a former leader may remain in
	// effect.
	OrderLease time.Duration
	// WeightRolloutTime is the time within which all servers must run the requested
	// weights.
	WeightRolloutTime time.Duration
	// FailureDomains lists failure domains that operators may empty before a server
	// or an entry instance is known there; comma-separated.
	FailureDomains string
}

// RegisterFlags implements settings.Set.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Platform, "surface", "", "platform module that serves operators, backend servers and clients; empty for none")
	fs.StringVar(&s.Listen, "surface-listen", "", "IP:port for operators and backend servers")
	fs.StringVar(&s.DirectoryListen, "directory-listen", "", "IP:port for clients that ask where to connect")
	fs.DurationVar(&s.AnnounceInterval, "announce-interval", time.Second, "interval at which backend servers announce themselves")
	fs.DurationVar(&s.OrderLease, "order-lease", 3*time.Second, "how long a new leader waits before it orders weights")
	fs.StringVar(&s.FailureDomains, "failure-domains", "", "names of failure domains that operators may empty, comma-separated; those of servers and entry instances are known without")
	fs.DurationVar(&s.WeightRolloutTime, "weights-within", 8*time.Second, "time within which all servers must run the requested weights")
}

// Check implements settings.Set.
func (s *Settings) Check(checker *settings.Checker) {
	if s.Platform == "" {
		return
	}
	checker.Address("surface-listen", s.Listen)
	checker.Address("directory-listen", s.DirectoryListen)
	settings.Positive(checker, "announce-interval", s.AnnounceInterval, "duration")
	for _, domain := range settings.SplitList(s.FailureDomains) {
		if err := evacuation.CheckDomain(domain); err != nil {
			checker.Add("failure-domains", "%v", err)
		}
	}
}

// Registrar is the kernel component that runs in a control process.
type Registrar struct {
	settings Settings
	replica  *control.Replica
	logger   *slog.Logger
	hub      *registry.Hub
	// platform, view and contextServer are nil without a platform module.
	platform      Platform
	view          *fleetview.View
	contextServer *contextrelay.Server
	servers       []*http.Server
	listeners     []net.Listener
	requests      httpserver.Requests
	intake        *intake.Budget
	client        *http.Client
	// leaderConnections is the client for operators' requests that are passed on.
	leaderConnections *http.Client

	mu            sync.Mutex
	leaderClients map[string]controlv1.Control
}

// New returns the registrar of a replica. It must be started after the replica.
func New(s Settings, r *control.Replica) *Registrar {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Registrar{
		settings: s, replica: r, leaderClients: make(map[string]controlv1.Control),
		client: &http.Client{Transport: httpclient.Bound(&http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second,
		}, httpclient.PeerLimits)},
		// A kept connection may have fallen silent, and operators wait for a second only.
		leaderConnections: &http.Client{Transport: httpclient.Bound(&http.Transport{DialContext: dial, DisableKeepAlives: true}, httpclient.PeerLimits)},
	}
}

// Name implements kernel.Component.
func (r *Registrar) Name() string { return "registrar" }

// Provision implements kernel.Provisioner.
func (r *Registrar) Provision(ctx *kernel.Context) error {
	r.logger, r.intake = ctx.Logger, ctx.Intake
	r.hub = registry.NewHub(r.settings.AnnounceInterval, &documents{replica: r.replica}, r.logger)
	if dir := r.replica.DataDir(); dir != "" {
		r.hub.KeepStreamsIn(dir)
	}
	r.replica.Mount(fleetv1.FleetPathPrefix, httpserver.GzipHandler(fleetv1.NewFleetServer(r.hub)))
	if r.settings.Platform == "" {
		return nil
	}
	return r.provisionPlatform(ctx)
}

// provisionPlatform creates the platform module and the context server for
// entry instances.
func (r *Registrar) provisionPlatform(ctx *kernel.Context) error {
	var err error
	if r.platform, err = kernel.New[Platform](kernel.ID("registrar.surface." + r.settings.Platform)); err != nil {
		return err
	}
	feed, err := kernel.New[contexts.Feed](kernel.ID("contexts.feed." + r.settings.Platform))
	if err != nil {
		return err
	}
	r.logger.Info("platform configured", slog.String("platform", r.settings.Platform), slog.Any("failure_domains", settings.SplitList(r.settings.FailureDomains)))
	r.view = fleetview.New([]string{r.replica.URL()}, nil, r.client, r.logger)
	if err := ctx.Registry.Register(r.view); err != nil {
		return eris.Wrap(err, "register the metrics of the fleet view")
	}
	r.contextServer = contextrelay.NewServer(r.replica.URL(), feed, r.view, r.platform.DecodeDocument, r.applyDirectives, r.logger)
	r.replica.Mount(fleetv1.ContextsPathPrefix, fleetv1.NewContextsServer(r.contextServer))
	return nil
}

// applyDirectives records what a server says about itself in response to this instance.
func (r *Registrar) applyDirectives(server string, bornUnixMS int64, d dispatch.Directives) {
	if d.Leaving {
		r.hub.MarkLeaving(server, bornUnixMS, r.replica.Instance())
	}
	r.hub.ObserveDirectives(server, bornUnixMS, d, r.replica.Instance())
}

// Hub returns the hub of this instance.
func (r *Registrar) Hub() *registry.Hub { return r.hub }

// Start implements kernel.Starter.
func (r *Registrar) Start(ctx context.Context) error {
	go r.hub.Run(ctx)
	if r.platform == nil {
		return nil
	}
	r.view.Start(ctx)
	if err := r.startWeightRunner(ctx); err != nil {
		return err
	}
	go r.contextServer.Run(ctx)
	if err := r.serve(listenerOperators, r.settings.Listen, r.platform.ControlHandler(r)); err != nil {
		return err
	}
	return r.serve(listenerDirectory, r.settings.DirectoryListen, r.platform.DirectoryHandler(r))
}

// startWeightRunner starts the runner that brings servers to the requested
// weights while this replica leads.
func (r *Registrar) startWeightRunner(ctx context.Context) error {
	engines, err := kernel.New[weights.EngineClient](kernel.ID("weights.engines." + r.settings.Platform))
	if err != nil {
		return err
	}
	stores, err := kernel.New[weights.StoreClient](kernel.ID("contexts.feed." + r.settings.Platform))
	if err != nil {
		return err
	}
	runner := weights.NewRunner(r.replica.Instance(), r.settings.OrderLease, r.settings.WeightRolloutTime, engines, stores, r.replica, r.view, r.hub.ObserveWeights, r.applyDirectives, r.platform.DecodeDocument, r.logger)
	go runner.Run(ctx)
	return nil
}

func (r *Registrar) serve(name, address string, h http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	server := httpserver.New(r.requests.Track(h), httpserver.InternalLimits)
	r.servers, r.listeners = append(r.servers, server), append(r.listeners, listener)
	counted := r.intake.Protect(server, listener, name)
	go func() {
		if err := server.Serve(counted); !httpserver.IsClosed(err) {
			r.logger.Error("listener failed", slog.String("address", address), slog.Any("error", err))
		}
	}()
	return nil
}

// Drain implements kernel.Drainer. The replica still runs, so that requests in progress and
// those on accepted connections get their responses, and entry instances the announcements
// that were acknowledged.
func (r *Registrar) Drain(ctx context.Context) error {
	if len(r.listeners) == 0 {
		return nil
	}
	requestsCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := r.requests.Drain(requestsCtx, drainQuietPeriod, r.listeners...); err != nil {
		r.logger.Info("drain ended with requests in progress", slog.Any("error", err))
	}
	feedCtx, cancel := context.WithTimeout(ctx, feedDrainTimeout)
	defer cancel()
	if err := r.hub.Drain(feedCtx); err != nil {
		r.logger.Info("drain ended before all entry instances knew the last announcements", slog.Any("error", err))
	}
	return nil
}

// Stop implements kernel.Stopper.
func (r *Registrar) Stop(ctx context.Context) error {
	for _, l := range r.listeners {
		_ = l.Close() // is closed after a drain
	}
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := r.intake.CloseIdle(ctx, listenerOperators, listenerDirectory); err != nil {
		r.logger.Info("connections not idle", slog.Any("error", err))
	}
	for _, s := range r.servers {
		_ = s.Close() // clients use another instance
	}
	return nil
}

// Interface guard.
var _ ControlPlane = (*Registrar)(nil)

// Announce applies a server's announcement.
func (r *Registrar) Announce(a *fleetv1.Announcement) { r.hub.Announce(a) }

// MarkGone records that a server has ended.
func (r *Registrar) MarkGone(server string, bornUnixMS int64) { r.hub.MarkGone(server, bornUnixMS) }

// Rejected records that an announcement, or the report of an end, was not understood.
func (r *Registrar) Rejected(server string, err error) { r.hub.Rejected(server, err) }

// AcceptingAddresses lists the addresses of entry instances that accept clients,
// at most limit (0: all), for clients in a failure domain, and how long clients may
// cache the list.
func (r *Registrar) AcceptingAddresses(domain string, limit int) ([]string, time.Duration) {
	return r.hub.AcceptingAddresses(domain, limit), directoryTTL
}

// Publish submits a version of a document to the leader.
func (r *Registrar) Publish(ctx context.Context, d *controlv1.PublishedDocument) (*controlv1.PublishResponse, error) {
	start := time.Now()
	response, err := callLeader(ctx, r, &controlv1.PublishRequest{Document: d}, controlv1.Control.Publish)
	r.logger.Info("document submitted", slog.String("document", d.Name), slog.Uint64("version", d.Version), slog.Int("bytes", len(d.Content)),
		slog.String("outcome", response.GetOutcome().String()), slog.Uint64("held", response.GetHeldVersion()),
		slog.Duration("took", time.Since(start)), slog.Any("error", err))
	return response, err
}

// NewestDocument returns the newest version of a document, nil if there is none.
func (r *Registrar) NewestDocument(ctx context.Context, name string) (*controlv1.PublishedDocument, error) {
	response, err := callLeader(ctx, r, &controlv1.GetPublishedRequest{Name: name}, controlv1.Control.GetPublished)
	if err != nil {
		r.logger.Info("newest document unavailable", slog.String("document", name), slog.Any("error", err))
	}
	return response.GetDocument(), err
}

// callLeader calls the local replica, which knows the leader, and then the
// leader, until a call succeeds or the timeout expires.
func callLeader[Q, R any](ctx context.Context, r *Registrar, request Q, method func(controlv1.Control, context.Context, Q) (R, error)) (R, error) {
	return callLeaderAt(ctx, r.replica.LocalService(), r.knownLeader, r.leaderClient, request, method)
}

// knownLeader returns the base URL of the leader that the local replica knows, empty if it knows none.
func (r *Registrar) knownLeader() string {
	if log := r.replica.Log(); log != nil {
		return log.LeaderURL()
	}
	return ""
}

// callLeaderAt is callLeader with the local replica, the leader that it knows and the clients of
// others. A call to the leader ends as another leader is known: one that stands still keeps its
// connections, and does not respond.
func callLeaderAt[Q, R any](ctx context.Context, local controlv1.Control, known func() string, clientOf func(url string) controlv1.Control, request Q, method func(controlv1.Control, context.Context, Q) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var zero R
	for attempts := 1; ; attempts++ {
		response, err := method(local, ctx, request)
		if err == nil {
			return response, nil
		}
		peer := "this replica"
		if url := leaderURL(err); url != "" {
			attempt, stop := context.WithTimeout(ctx, leaderTimeout)
			go stopAtNextLeader(attempt, stop, url, known)
			response, err = method(clientOf(url), attempt, request)
			stop()
			if err == nil {
				return response, nil
			}
			peer = url
		}
		select {
		case <-ctx.Done():
			return zero, eris.Wrapf(errors.Join(ErrUnavailable, err), "ask the leader, attempt %d at %s", attempts, peer)
		case <-time.After(leaderRetryInterval):
		}
	}
}

// stopAtNextLeader calls stop once another leader than that at url is known, and returns once ctx is
// done.
func stopAtNextLeader(ctx context.Context, stop context.CancelFunc, url string, known func() string) {
	ticker := time.NewTicker(leaderRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if leader := known(); leader != "" && leader != url {
				stop()
			}
		}
	}
}

func leaderURL(err error) string {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return ""
	}
	return twirpErr.Meta(control.LeaderMetaKey)
}

func (r *Registrar) leaderClient(url string) controlv1.Control {
	r.mu.Lock()
	defer r.mu.Unlock()
	client := r.leaderClients[url]
	if client == nil {
		client = controlv1.NewControlProtobufClient(url, r.leaderConnections)
		r.leaderClients[url] = client
	}
	return client
}

// documents gives the hub access to the documents and members in this replica's
// state.
type documents struct {
	replica *control.Replica
	catchUp catchUpSignal
}

// Published lists the newest versions of all documents: none before the replica has caught
// up with what it held when it was started. An entry instance that starts at the same time
// would otherwise apply older versions, since a majority holds the newest ones but none
// has applied them.
func (d *documents) Published() []*controlv1.PublishedDocument {
	var list []*controlv1.PublishedDocument
	if log := d.replica.Log(); log != nil && log.CaughtUp() {
		log.ReadLocal(func(st *state.State) { list = st.PublishedWithPrefix("") })
	}
	return list
}

// Changed returns a channel that is closed at the next change.
func (d *documents) Changed() <-chan struct{} {
	log := d.replica.Log()
	if log == nil {
		return nil
	}
	if !log.CaughtUp() {
		return d.catchUp.wait(func() bool { return log.CaughtUp() || d.replica.Log() != log })
	}
	return log.ConfigChanged()
}

// catchUpInterval is how often a replica that has just started checks whether its state
// may be published.
const catchUpInterval = 50 * time.Millisecond

// catchUpSignal notifies all that wait for a replica to catch up, once it has.
type catchUpSignal struct {
	mu     sync.Mutex
	signal chan struct{}
}

// wait returns a channel that is closed once the condition of the first caller is met.
func (s *catchUpSignal) wait(met func() bool) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.signal != nil {
		return s.signal
	}
	signal := make(chan struct{})
	s.signal = signal
	go func() {
		for !met() {
			time.Sleep(catchUpInterval)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.signal = nil
		close(signal)
	}()
	return signal
}

// ControlURLs lists the base URLs of the control instances.
func (d *documents) ControlURLs() []string {
	if log := d.replica.Log(); log != nil {
		return log.MemberURLs()
	}
	return nil
}
