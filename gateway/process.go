package gateway

import (
	"context"
	"errors"
	"flag"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/contextrelay"
	"github.com/galenaarch/galenaarch/contexts"
	"github.com/galenaarch/galenaarch/control"
	"github.com/galenaarch/galenaarch/dispatch"
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/httpserver"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/placement"
)

// Times of the listeners.
const (
	// headerTimeout bounds the reading of a head, idleTimeout the time between
	// two requests: above what documents grant callers, who may reuse a
	// connection for most of it.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// lingerFor is how long a stopping instance takes new connections: callers
	// keep the directory's answer for up to three times its time to live.
	lingerFor = 3500 * time.Millisecond
	// stopWait is how long answers that are being written have at the very end;
	// below graceMargin.
	stopWait = 200 * time.Millisecond
	// quietFor without a request ends a drain early.
	quietFor      = 600 * time.Millisecond
	callerUnacked = 5 * time.Second
	// peerDialTimeout is below the second after which a lost first packet is sent
	// again: an instance that has just come back is reached by the next try.
	peerDialTimeout = 300 * time.Millisecond
	// callerProbe finds callers that went silent.
	callerProbe = 3 * time.Second
)

const maxHeaderBytes = 64 << 10

// Settings of a gateway process.
type Settings struct {
	Instance, FailureDomain string
	Dialect                 string
	// Placement names the module that scores servers for a request.
	Placement string
	// Listen is where callers connect, ReadyListen where the platform asks
	// whether the instance is ready.
	Listen, ReadyListen string
	// PeerListen is where other entry instances reach this one.
	PeerListen string
	// Seeds are control instances, PeerPort their port for other processes.
	Seeds    string
	PeerPort int
	// Without names the mechanisms of decisions that are switched off, for
	// experiments.
	Without string
	// AnnounceInterval is how often backend servers announce themselves.
	AnnounceInterval time.Duration
	// WeightsWithin is the time in which all servers are to run the weights asked
	// for.
	WeightsWithin time.Duration
	// Grace is the time between the order to stop and the end.
	Grace  time.Duration
	Bounds Bounds
}

// RegisterFlags implements settings.Set.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Instance, "instance", "", "name of this instance")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this instance")
	fs.StringVar(&s.Dialect, "dialect", "", "module that decodes what callers and servers say")
	fs.StringVar(&s.Placement, "placement", placement.DefaultScorer, "module that scores servers: expected-time; prefix-affinity and least-load are baselines")
	fs.StringVar(&s.Listen, "listen", "", "IP:port for callers")
	fs.StringVar(&s.ReadyListen, "ready-listen", "", "IP:port for questions whether this instance is ready")
	fs.StringVar(&s.PeerListen, "peer-listen", "", "IP:port for other entry instances")
	fs.StringVar(&s.Seeds, "seeds", "", "IP:port of a few control instances, comma-separated")
	fs.IntVar(&s.PeerPort, "peer-port", 0, "port that replaces the one in -seeds; 0 leaves it")
	fs.StringVar(&s.Without, "without", "", "mechanisms of decisions that are switched off, for experiments, comma-separated: "+strings.Join(dispatch.Names(), ", "))
	fs.DurationVar(&s.AnnounceInterval, "announce-interval", time.Second, "how often backend servers announce themselves")
	fs.DurationVar(&s.WeightsWithin, "weights-within", 8*time.Second, "time in which all servers are to run the weights asked for")
	fs.DurationVar(&s.Grace, "grace", 8*time.Second, "time between the order to stop and the end")
	fs.Float64Var(&s.Bounds.RepeatRatio, "repeat-ratio", 0.2, "requests that all entry instances may send again, as a share of those of a service")
	fs.Float64Var(&s.Bounds.RepeatSlack, "repeat-slack", 20, "requests that they may send again besides")
	fs.DurationVar(&s.Bounds.RepeatWindow, "repeat-window", 10*time.Second, "span in which both are counted")
}

// Check implements settings.Set.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("instance", s.Instance)
	c.Required("failure-domain", s.FailureDomain)
	c.Required("dialect", s.Dialect)
	c.Required("placement", s.Placement)
	c.Address("listen", s.Listen)
	c.Address("ready-listen", s.ReadyListen)
	c.Address("peer-listen", s.PeerListen)
	c.Required("seeds", s.Seeds)
	for _, a := range settings.List(s.Seeds) {
		c.Address("seeds", a)
	}
	if _, err := dispatch.Without(s.Without); err != nil {
		c.Add("without", "%v", err)
	}
	settings.Positive(c, "announce-interval", s.AnnounceInterval, "duration")
	settings.Positive(c, "weights-within", s.WeightsWithin, "duration")
	settings.Positive(c, "grace", s.Grace, "duration")
	settings.Positive(c, "repeat-window", s.Bounds.RepeatWindow, "duration")
	if s.Bounds.RepeatRatio < 0 || s.Bounds.RepeatSlack < 0 {
		c.Add("repeat-ratio", "the bounds on repeats must not be below 0")
	}
}

// Process is the component of an entry instance that forwards requests.
type Process struct {
	settings Settings
	logger   *slog.Logger
	gateway  *Gateway
	view     *fleetview.View
	callers  *http.Server
	ready    *http.Server
	peers    *peers
	inner    *http.Server
	cancel   context.CancelFunc
}

// NewProcess returns the component.
func NewProcess(s Settings) *Process { return &Process{settings: s} }

// Name implements kernel.Component.
func (p *Process) Name() string { return "gateway" }

// Provision implements kernel.Provisioner.
func (p *Process) Provision(ctx *kernel.Context) error {
	p.logger = ctx.Logger
	dialect, err := kernel.New[Dialect](kernel.ID("gateway.dialect." + p.settings.Dialect))
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range control.SeedPeers(p.settings.Seeds, p.settings.PeerPort) {
		seeds = append(seeds, s.URL)
	}
	self := &fleetv1.EntryInstance{
		Name: p.settings.Instance, StartedUnixMs: time.Now().UnixMilli(), Address: p.settings.Listen, Zone: p.settings.FailureDomain,
		PeerUrl: "http://" + p.settings.PeerListen,
	}
	client := peerClient()
	p.view = fleetview.New(seeds, self, client, p.logger)
	feed, err := kernel.New[contexts.Feed](kernel.ID("contexts.feed." + p.settings.Dialect))
	if err != nil {
		return err
	}
	p.peers = newPeers(self, client, p.logger)
	scorer, err := placement.NewScorer(p.settings.Placement)
	if err != nil {
		return err
	}
	policy, err := dispatch.Without(p.settings.Without)
	if err != nil {
		return err
	}
	stores := contexts.NewWatch(feed, p.logger)
	stores.Believe(contexts.Beliefs{NoEngines: !policy.On(dispatch.EngineSources), NoSlowness: !policy.On(dispatch.StoreSlowness)})
	p.gateway = New(Parts{
		Dialect: dialect, View: p.view, Stores: stores, Follower: contextrelay.NewFollower(stores, client, p.logger), Scorer: scorer, Policy: policy, peers: p.peers,
	}, &p.settings, p.logger, newMetrics(ctx.Registry))
	stores.OnLeaving(p.gateway.leftAt)
	p.peers.hears = func(leaving []life, from string) {
		p.gateway.heardLeaving(leaving, from)
		p.gateway.rooms.look()
	}
	p.logger.Info("decisions", slog.String("placement", p.settings.Placement), slog.Any("without", policy.Off()))
	return nil
}

// peerClient calls the system's other processes.
func peerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
	}}
}

// Ready says why the instance takes no callers, or nil.
func (p *Process) Ready() error {
	if !p.gateway.Ready() {
		return errors.New("no document is in force, or the instance is stopping")
	}
	return nil
}

// Start implements kernel.Starter.
func (p *Process) Start(context.Context) error {
	// The picture of the fleet is followed until the drain has ended.
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.callers = &http.Server{
		Handler: p.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(p.logger.Handler(), slog.LevelDebug),
	}
	p.ready = &http.Server{Handler: http.HandlerFunc(p.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if err := p.serve(p.callers, p.settings.Listen); err != nil {
		return err
	}
	if err := p.serve(p.ready, p.settings.ReadyListen); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(fleetv1.EntriesPathPrefix, fleetv1.NewEntriesServer(p.peers))
	p.inner = httpserver.New(mux, httpserver.Internal)
	if err := p.serve(p.inner, p.settings.PeerListen); err != nil {
		return err
	}
	p.view.Start(ctx)
	go p.peers.run(ctx, p.view)
	go p.gateway.Run(ctx)
	return nil
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := p.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Process) serve(s *http.Server, address string) error {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerProbe, Interval: time.Second, Count: 2}}
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	go func() {
		if err := s.Serve(unackedListener{listener}); !errors.Is(err, http.ErrServerClosed) {
			p.logger.Error("listener ended", slog.String("address", address), slog.Any("error", err))
		}
	}()
	return nil
}

// unackedListener ends connections whose peer acknowledges nothing.
type unackedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l unackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if raw, err := c.(*net.TCPConn).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			// Without it the keep-alive probes still find a silent peer.
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(callerUnacked.Milliseconds()))
		})
	}
	return c, nil
}

// Drain implements kernel.Drainer: callers are sent elsewhere at once, but those
// that still come are served until they must have heard of it, as far as their
// requests end in time: see stopping.
func (p *Process) Drain(ctx context.Context) error {
	began := time.Now()
	p.gateway.stopping.order(began, p.settings.Grace)
	p.view.Announce(false)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			quiet := now.Sub(time.Unix(0, p.gateway.arrived.Load())) > quietFor
			if p.gateway.stopping.over(now) || (now.Sub(began) > lingerFor && quiet && p.gateway.inflight.Load() == 0) {
				p.logger.Info("drained", slog.Duration("took", now.Sub(began)), slog.Int64("open", p.gateway.inflight.Load()))
				return nil
			}
		}
	}
}

// Stop implements kernel.Stopper. Answers that are being written are let out.
func (p *Process) Stop(ctx context.Context) error {
	if p.cancel != nil {
		p.cancel()
	}
	ctx, cancel := context.WithTimeout(ctx, stopWait)
	defer cancel()
	for _, s := range []*http.Server{p.callers, p.ready, p.inner} {
		if s == nil {
			continue
		}
		if err := s.Shutdown(ctx); err != nil {
			p.logger.Info("connections closed", slog.String("reason", "the grace is over"), slog.Int64("open", p.gateway.inflight.Load()), slog.Any("error", err))
			_ = s.Close() // what is open now has run out of grace
		}
	}
	return nil
}
