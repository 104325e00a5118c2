package gateway

import (
	"context"
	"errors"
	"flag"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/contextrelay"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/control"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/httpclient"
	"github.com/galenaarch/galenaarch/httpserver"
	"github.com/galenaarch/galenaarch/intake"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/placement"
)

// Timeouts of the listeners.
const (
	// headerTimeout limits the reading of request headers, idleTimeout the time
	// between two requests. Clients have more if the site document grants it.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// minDrainTime is how long a draining instance accepts new connections: clients
	// cache the directory's response for up to three times its time to live.
	minDrainTime = 3500 * time.Millisecond
	// lingerTime is how long open connections are served after the listener has closed, so
	// that requests which are on their way get a response.
	lingerTime = 100 * time.Millisecond
	// shutdownTimeout is how long responses in progress get at the very end.
	shutdownTimeout = 100 * time.Millisecond
	// flushTimeout is how long the last responses get to be written before the connections
	// are closed.
	flushTimeout = 50 * time.Millisecond
	// responsePollInterval is the time between checks for requests in progress at the end.
	responsePollInterval = 5 * time.Millisecond
	// drainQuietPeriod without a request ends a drain early.
	drainQuietPeriod = 600 * time.Millisecond
	// clientUnackedTimeout also ends the keep-alive probes, whatever their number: the first one
	// that gets no answer must be followed by one over two seconds later.
	clientUnackedTimeout = 5500 * time.Millisecond
	// peerDialTimeout is below the one second after which a lost SYN is resent, so that
	// the next attempt reaches an instance that has just restarted.
	peerDialTimeout = 300 * time.Millisecond
	// clientKeepAliveIdle is the idle time before keep-alive probes detect a silent
	// client.
	clientKeepAliveIdle = 3 * time.Second
)

// Names of listeners in metrics.
const (
	listenerClients = "clients"
	listenerPeers   = "peers"
)

const maxHeaderBytes = 64 << 10

// maxForwardHeaderBytes is the room for the mark of a forwarded request.
const maxForwardHeaderBytes = 64 << 10

// Settings holds the settings of a gateway process.
type Settings struct {
	Instance, FailureDomain string
	// Dialect names the module that encodes and decodes the platform's HTTP headers and
	// documents.
	Dialect string
	// Placement names the module that scores servers for a request.
	Placement string
	// Listen is the address for clients, ReadinessListen that of the platform's
	// readiness checks.
	Listen, ReadinessListen string
	// PeerListen is the address for other entry instances.
	PeerListen string
	// Seeds are addresses of control instances, comma-separated. PeerPort replaces the
	// port in them; 0 keeps it.
	Seeds    string
	PeerPort int
	// Terms are the names of the terms in force at the deployment, comma-separated, as the dialect
	// knows them.
	Terms string
	// DisabledMechanisms names the scheduling mechanisms that are disabled for
	// experiments, comma-separated.
	DisabledMechanisms string
	// AnnounceInterval is the time between announcements of a backend server.
	AnnounceInterval time.Duration
	// WeightRolloutTime is the time within which all servers should run new target
	// weights.
	WeightRolloutTime time.Duration
	// GracePeriod is the time between the shutdown signal and the forced exit.
	GracePeriod time.Duration
	RetryLimits RetryLimits
}

// RegisterFlags implements settings.Set.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Instance, "instance", "", "name of this instance")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this instance")
	fs.StringVar(&s.Dialect, "dialect", "", "module that encodes and decodes the platform's HTTP headers and documents")
	fs.StringVar(&s.Placement, "placement", placement.DefaultScorer, "module that scores servers: expected-time; prefix-affinity and least-load are baselines")
	fs.StringVar(&s.Listen, "listen", "", "IP:port for clients")
	fs.StringVar(&s.ReadinessListen, "ready-listen", "", "IP:port for readiness checks")
	fs.StringVar(&s.PeerListen, "peer-listen", "", "IP:port for other entry instances")
	fs.StringVar(&s.Seeds, "seeds", "", "IP:port of some control instances, comma-separated")
	fs.IntVar(&s.PeerPort, "peer-port", 0, "port that replaces the one in -seeds; 0 keeps it")
	fs.StringVar(&s.Terms, "terms", "", "names of the terms in force at this deployment, comma-separated, as the dialect knows them")
	fs.StringVar(&s.DisabledMechanisms, "without", "", "scheduling mechanisms to disable for experiments, comma-separated: "+strings.Join(dispatch.MechanismNames(), ", "))
	fs.DurationVar(&s.AnnounceInterval, "announce-interval", time.Second, "time between announcements of a backend server")
	fs.DurationVar(&s.WeightRolloutTime, "weights-within", 8*time.Second, "time in which all servers are to run a new weight version")
	fs.DurationVar(&s.GracePeriod, "grace", 8*time.Second, "time between the shutdown signal and the forced exit")
	fs.Float64Var(&s.RetryLimits.RetryRatio, "repeat-ratio", 0.2, "retries allowed across all entry instances, as a share of a service's requests")
	fs.Float64Var(&s.RetryLimits.ExtraRetries, "repeat-slack", 20, "retries allowed in addition to -repeat-ratio")
	fs.DurationVar(&s.RetryLimits.RetryWindow, "repeat-window", 10*time.Second, "window in which retries are counted")
}

// Check implements settings.Set.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("instance", s.Instance)
	c.Required("failure-domain", s.FailureDomain)
	c.Required("dialect", s.Dialect)
	c.Required("placement", s.Placement)
	c.Address("listen", s.Listen)
	c.Address("ready-listen", s.ReadinessListen)
	c.Address("peer-listen", s.PeerListen)
	c.Required("seeds", s.Seeds)
	for _, a := range settings.SplitList(s.Seeds) {
		c.Address("seeds", a)
	}
	if _, err := dispatch.Without(s.DisabledMechanisms); err != nil {
		c.Add("without", "%v", err)
	}
	settings.Positive(c, "announce-interval", s.AnnounceInterval, "duration")
	settings.Positive(c, "weights-within", s.WeightRolloutTime, "duration")
	settings.Positive(c, "grace", s.GracePeriod, "duration")
	settings.Positive(c, "repeat-window", s.RetryLimits.RetryWindow, "duration")
	if s.RetryLimits.RetryRatio < 0 || s.RetryLimits.ExtraRetries < 0 {
		c.Add("repeat-ratio", "the retry limits must not be negative")
	}
}

// Process is the request forwarding component of an entry instance.
type Process struct {
	settings     Settings
	logger       *slog.Logger
	intake       *intake.Budget
	gateway      *Gateway
	view         *fleetview.View
	clientServer *http.Server
	// clientListener is closed before clientServer, which closes connections without a
	// response once it shuts down.
	clientListener net.Listener
	readyServer    *http.Server
	peers          *peers
	// peerListener is closed before peerServer, for the same reason; peersAccepted is closed once
	// the connections from it are known to peerServer.
	peerListener  net.Listener
	peersAccepted <-chan struct{}
	peerServer    *http.Server
	cancel        context.CancelFunc
}

// NewProcess returns the component.
func NewProcess(s Settings) *Process { return &Process{settings: s} }

// Name implements kernel.Component.
func (p *Process) Name() string { return "gateway" }

// Provision implements kernel.Provisioner.
func (p *Process) Provision(ctx *kernel.Context) error {
	p.logger, p.intake = ctx.Logger, ctx.Intake
	dialect, err := kernel.New[Dialect](kernel.ID("gateway.dialect." + p.settings.Dialect))
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range control.ParseSeeds(p.settings.Seeds, p.settings.PeerPort) {
		seeds = append(seeds, s.URL)
	}
	self := &fleetv1.EntryInstance{
		Name: p.settings.Instance, StartedUnixMs: time.Now().UnixMilli(), Address: p.settings.Listen, Zone: p.settings.FailureDomain, StoresRecordsFirst: true,
		PeerUrl: "http://" + p.settings.PeerListen,
	}
	client := peerClient()
	p.view = fleetview.New(seeds, self, client, p.logger)
	if err := ctx.Registry.Register(p.view); err != nil {
		return eris.Wrap(err, "register the metrics of the fleet view")
	}
	feed, err := kernel.New[contexts.Feed](kernel.ID("contexts.feed." + p.settings.Dialect))
	if err != nil {
		return err
	}
	p.peers = newPeers(self, client, p.logger)
	scorer, err := placement.NewScorer(p.settings.Placement)
	if err != nil {
		return err
	}
	policy, err := dispatch.Without(p.settings.DisabledMechanisms)
	if err != nil {
		return err
	}
	stores := contexts.NewWatcher(feed, p.logger)
	stores.SetOptions(contexts.Options{DisableEngineFetch: !policy.Enabled(dispatch.EngineTransfers), IgnoreSlowness: !policy.Enabled(dispatch.StoreSlowness)})
	p.gateway = New(Dependencies{
		Dialect: dialect, View: p.view, Stores: stores, Follower: contextrelay.NewFollower(stores, client, p.logger), Scorer: scorer, Policy: policy, peers: p.peers,
	}, &p.settings, p.logger, newMetrics(ctx.Registry))
	p.gateway.terms = dialect.DecodeTerms(settings.SplitList(p.settings.Terms))
	stores.OnDirectives(p.gateway.applyDirectivesAt)
	p.peers.onUpdate = func(leaving []incarnation, from string) {
		p.gateway.applyLeavingReport(leaving, from)
		p.gateway.states.recheckAll()
	}
	p.peers.limits, p.peers.onLimit, p.peers.servePermits = p.gateway.limits.announced, p.gateway.mergeRateLimit, p.gateway.permits.serve
	p.peers.domainWork, p.peers.explain = p.gateway.domainsWork, p.gateway.explain
	p.peers.ownMix, p.peers.serveBooking = p.gateway.promptMix.Work, p.gateway.bookings.serve
	p.gateway.evidence.exchange(p.view, p.peers)
	p.logger.Info("scheduling configured", slog.String("placement", p.settings.Placement), slog.Any("without", policy.Disabled()), slog.Bool("callers_compete", p.gateway.terms.CallersCompete))
	return nil
}

// peerClient returns the HTTP client for calls to the system's other processes.
func peerClient() *http.Client {
	return &http.Client{Transport: httpclient.Bound(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
	}, httpclient.PeerLimits)}
}

// Ready returns nil if the instance accepts clients, or the reason why it does not.
func (p *Process) Ready() error {
	if !p.gateway.Ready() {
		return errors.New("no document is in force, or the instance is stopping")
	}
	return nil
}

// Start implements kernel.Starter.
func (p *Process) Start(context.Context) error {
	// Fleet snapshots are followed until the drain has ended.
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.clientServer = &http.Server{
		Handler: p.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(p.logger.Handler(), slog.LevelDebug),
	}
	p.readyServer = &http.Server{
		Handler: http.HandlerFunc(p.serveReady), ReadTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: p.clientServer.ErrorLog,
	}
	var err error
	if p.clientListener, _, err = p.serve(listenerClients, p.clientServer, p.settings.Listen); err != nil {
		return err
	}
	if _, _, err := p.serve("readiness", p.readyServer, p.settings.ReadinessListen); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(fleetv1.EntriesPathPrefix, fleetv1.NewEntriesServer(p.peers))
	p.peerServer = httpserver.New(p.acceptForwarded(mux), httpserver.InternalLimits)
	p.peerServer.MaxHeaderBytes = maxHeaderBytes + maxForwardHeaderBytes
	if p.peerListener, p.peersAccepted, err = p.serve(listenerPeers, p.peerServer, p.settings.PeerListen); err != nil {
		return err
	}
	p.view.Start(ctx)
	go p.peers.run(ctx, p.view)
	go p.gateway.permits.run(ctx, p.view)
	go p.gateway.evidence.run(ctx)
	go p.gateway.streams.run(ctx)
	go p.gateway.probePaths(ctx)
	go p.gateway.Run(ctx)
	return nil
}

// acceptForwarded returns a handler that serves the requests passed on by other instances, and
// leaves all others to next.
func (p *Process) acceptForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get(forwardHeader) != "" {
			p.gateway.serveForwarded(rw, r)
			return
		}
		next.ServeHTTP(rw, r)
	})
}

// serveReady responds with 200 if the process is ready, and otherwise with 503 and the
// reason.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := p.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serve listens on an address and serves its connections in the background; accepted is closed
// once no further one follows. A later failure of the listener is only logged.
func (p *Process) serve(name string, s *http.Server, address string) (listener net.Listener, accepted <-chan struct{}, err error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: clientKeepAliveIdle, Interval: time.Second}}
	listener, err = config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "listen on %s", address)
	}
	counted := p.intake.Protect(s, userTimeoutListener{listener}, name)
	if l, ok := counted.(*intake.Listener); ok && s == p.clientServer {
		l.SetTimeouts(p.gateway.clientTimeouts)
		l.SetEchoHeader(p.gateway.dialect.RequestIDHeader())
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := s.Serve(counted); !httpserver.IsClosed(err) {
			p.logger.Error("listener failed", slog.String("address", address), slog.Any("error", err))
		}
	}()
	return listener, ended, nil
}

// clientTimeouts returns the times that the site document in force grants clients for a head, and
// between two requests.
func (g *Gateway) clientTimeouts() (head, idle time.Duration) {
	rs := g.routing.Load()
	if rs.table == nil {
		return 0, 0
	}
	return rs.table.Limits.HeaderTimeout, rs.table.Limits.IdleTimeout
}

// userTimeoutListener closes connections whose peer acknowledges nothing.
type userTimeoutListener struct{ net.Listener }

// Accept implements net.Listener.
func (l userTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if raw, err := c.(*net.TCPConn).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			// If this fails, the keep-alive probes still detect a silent peer.
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(clientUnackedTimeout.Milliseconds()))
		})
	}
	return c, nil
}

// Drain implements kernel.Drainer. Readiness is withdrawn at once, but clients that
// still connect are served until they have had time to notice, if their requests are
// expected to end in time: see drainState. At its end the listener is closed, and requests
// on open connections are rejected.
func (p *Process) Drain(ctx context.Context) error {
	startedAt := time.Now()
	p.gateway.drain.start(startedAt, p.settings.GracePeriod)
	p.gateway.permits.drainStartedAt.CompareAndSwap(nil, &startedAt)
	p.view.StopAccepting()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	quietFor := httpserver.NewQuiet(startedAt, 2*drainPollInterval)
	for {
		select {
		case <-ctx.Done():
			p.closeListener()
			return ctx.Err()
		case <-ticker.C:
			now := time.Now() // the time of a tick is not that of its receipt
			quiet := quietFor.Check(now, fromMonotonic(p.gateway.lastArrival.Load())) > drainQuietPeriod
			if p.gateway.drain.expired(now) || (now.Sub(startedAt) > minDrainTime && quiet && p.gateway.inflight.Load() == 0) {
				p.closeListener()
				p.awaitAdmitted(ctx, ticker.C)
				p.logger.Info("drain finished", slog.Duration("took", now.Sub(startedAt)), slog.Int64("open", p.gateway.inflight.Load()))
				return nil
			}
		}
	}
}

// closeListener closes the listener for clients. For lingerTime, requests on connections that
// were accepted before are rejected.
//
// Invariant: a request that was read gets a response. Once it shuts down, net/http closes
// the connections whose request it has just read.
func (p *Process) closeListener() {
	p.gateway.drain.end()
	if err := httpserver.CloseListener(p.clientListener); err != nil {
		p.logger.Warn("listener not closed", slog.Any("error", err))
	}
	time.Sleep(lingerTime)
}

// awaitAdmitted waits for requests that were admitted as the drain ended early, at most until
// the time for draining is over.
//
// Invariant: ServeHTTP counts a request before it asks for admission, and the drain ends
// admission before it reads the count.
func (p *Process) awaitAdmitted(ctx context.Context, ticks <-chan time.Time) {
	for p.gateway.inflight.Load() > 0 && !p.gateway.drain.expired(time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
	}
}

// Stop implements kernel.Stopper. Responses in progress may finish; requests without a
// response get one, and those that still arrive are rejected.
//
// Invariant: net/http shuts down only when the time for responses is over, since it closes
// the connections whose request it reads afterwards.
func (p *Process) Stop(ctx context.Context) error {
	defer p.gateway.stopRequests()
	if p.cancel != nil {
		p.cancel()
	}
	p.gateway.drain.end()
	var listeners sync.WaitGroup
	listeners.Go(p.closeListeners)
	if !p.awaitResponses(ctx, shutdownTimeout) {
		p.gateway.stopRequests()
		p.awaitResponses(ctx, answerTimeout)
	}
	listeners.Wait()
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	p.closeIdle(ctx)
	for _, s := range []*http.Server{p.clientServer, p.readyServer, p.peerServer} {
		if s == nil {
			continue
		}
		if err := s.Shutdown(ctx); err != nil {
			p.logger.Info("open connections closed", slog.String("reason", "grace period expired"), slog.Int64("open", p.gateway.inflight.Load()), slog.Any("error", err))
			_ = s.Close() // the grace period of open connections has expired
		}
	}
	return nil
}

// closeListeners closes the listeners for clients, which a drain has closed before, and for other
// instances. Requests on connections that were accepted before are rejected: it waits until those of
// other instances, which have no lingerTime, are known to their server.
func (p *Process) closeListeners() {
	for _, l := range []net.Listener{p.clientListener, p.peerListener} {
		if l == nil {
			continue
		}
		if err := httpserver.CloseListener(l); err != nil {
			p.logger.Warn("listener not closed", slog.Any("error", err))
		}
	}
	if p.peerListener == nil {
		return
	}
	select {
	case <-p.peersAccepted:
	case <-time.After(httpserver.AcceptTimeout): // by a process that gets no processor time
	}
}

// closeIdle closes the connections of clients and other instances between two requests, and leaves
// half of the time of ctx for the rest.
func (p *Process) closeIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout/2)
	defer cancel()
	if err := p.intake.CloseIdle(ctx, listenerClients, listenerPeers); err != nil {
		p.logger.Info("connections not idle", slog.Int64("open", p.gateway.inflight.Load()), slog.Any("error", err))
	}
}

// awaitResponses waits until no request is in progress, at most for the given time, and
// reports whether none is.
func (p *Process) awaitResponses(ctx context.Context, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	ticker := time.NewTicker(responsePollInterval)
	defer ticker.Stop()
	for p.gateway.inflight.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
