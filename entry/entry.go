// Package entry puts the path of a request together: callers' API, routing to
// backend servers, relay of streams, calls of plain services, announcements.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/admission"
	"github.com/galenaarch/galenaarch/answers"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/api/memberv1"
	"github.com/galenaarch/galenaarch/catalogue"
	"github.com/galenaarch/galenaarch/config/watch"
	"github.com/galenaarch/galenaarch/control/client"
	"github.com/galenaarch/galenaarch/fleet"
	"github.com/galenaarch/galenaarch/httpserver"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/kvcache"
	"github.com/galenaarch/galenaarch/link"
	"github.com/galenaarch/galenaarch/membership"
	"github.com/galenaarch/galenaarch/retry"
	"github.com/galenaarch/galenaarch/services"
	"github.com/galenaarch/galenaarch/transport"
)

// Limits of the entry's listeners and connections.
const (
	maxBodyBytes = 16 << 20
	bodyTimeout  = time.Minute
	// maxOpenRequests bounds the requests and streams at once.
	maxOpenRequests = 20000
	dialTimeout     = time.Second
	reportTimeout   = 2 * time.Second
	expireInterval  = 100 * time.Millisecond
	maxIdlePerPeer  = 256
	maxSeenBlocks   = 1 << 18
	// retryShare is the part of traffic that may be retries, retryBurst the
	// number saved up for the loss of a backend server.
	retryShare = 0.2
	retryBurst = 200
)

// Entry is one entry instance.
type Entry struct {
	settings Settings
	logger   *slog.Logger
	kernel   *kernel.Context
	metrics  *metrics

	control   controlv1.Control
	transport *transport.Transport
	callers   *transport.Transport
	config    *watch.Watcher
	answers   *answers.Store
	gate      *gate
	admitter  *admitter
	// open counts the requests at hand.
	open atomic.Int64

	dispatching
	contextParts
	companions
	listeners
}

// dispatching is what a request is sent on with.
type dispatching struct {
	fleet *fleet.Table
	// eligibleNow is what the last decision found eligible.
	eligibleNow atomic.Pointer[eligibility]
	policies    *policySet
	flights     *flights
	engines     *http.Client
	dispatcher  *services.Dispatcher
	retries     *retry.Budget
}

// contextParts say where context is kept and how large it is.
type contextParts struct {
	links     *link.Set
	catalogue *catalogue.Catalogue
	seen      *kvcache.Seen
	exports   *exports
	// calibration corrects estimated token counts, blockBytes is the size of
	// the block written last.
	calibration kvcache.Calibration
	blockBytes  atomic.Int64
}

// companions is what this entry knows of the other entries and tells them.
type companions struct {
	node    *membership.Node
	members membership.View
	// joined is when this entry began to join others; zero if it has none.
	joined   time.Time
	joinWait time.Duration
	// needs are what the other entries would borrow; guarded by the admitter.
	needs map[string][]admission.Need
	// states is what other entries tell of themselves.
	statesMu sync.Mutex
	states   map[string]*memberv1.EntryState
	// published is the last value of each published item.
	publishedMu sync.Mutex
	published   map[string][]byte
}

// listeners serve callers, backend servers and other entries.
type listeners struct {
	public  *http.Server
	backend *http.Server
	peer    *http.Server
}

// New returns an entry with the given settings.
func New(s Settings) *Entry {
	return &Entry{settings: s, companions: companions{joinWait: admission.JoinWait}}
}

// Interface guards.
var (
	_ kernel.Provisioner = (*Entry)(nil)
	_ kernel.Starter     = (*Entry)(nil)
	_ kernel.Drainer     = (*Entry)(nil)
	_ kernel.Stopper     = (*Entry)(nil)
)

// Name implements kernel.Component.
func (e *Entry) Name() string { return "entry" }

// Provision implements kernel.Provisioner.
func (e *Entry) Provision(ctx *kernel.Context) error {
	e.kernel = ctx
	e.logger = ctx.Logger
	e.metrics = newMetrics(ctx.Registry)
	secured, err := transport.New(e.settings.TLS, ctx.Logger)
	if err != nil {
		return eris.Wrap(err, "certificates")
	}
	e.transport = secured
	e.callers, err = transport.NewCallers(e.settings.CallerTLS, ctx.Logger)
	if err != nil {
		return eris.Wrap(err, "certificates for callers")
	}
	incarnation := uint64(time.Now().UnixNano())
	e.control = client.New(settings.List(e.settings.Control), secured.Client())
	e.config = watch.New(e.control, watch.Instance{
		Name:          e.settings.Instance,
		Role:          "entry",
		Environment:   e.settings.Environment,
		FailureDomain: e.settings.FailureDomain,
		Incarnation:   incarnation,
	}, ctx.Logger)
	e.node = e.newNode(ctx, incarnation)
	e.members = e.node
	e.gate = newGate()
	e.admitter = newAdmitter(ctx.Registry)
	e.needs = make(map[string][]admission.Need)
	e.states = make(map[string]*memberv1.EntryState)
	e.published = make(map[string][]byte)
	e.engines = &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerPeer,
		DisableCompression:  true,
	}}
	e.fleet = fleet.NewTable(e.settings.ServerTTL)
	if err := e.provisionContext(); err != nil {
		return err
	}
	e.seen = kvcache.NewSeen(maxSeenBlocks)
	e.policies = newPolicySet()
	e.retries = retry.NewBudget(retryShare, retryBurst)
	e.answers = newAnswers()
	e.dispatcher = services.NewDispatcher(e.settings.Instance, e.control, e.retries, func(kind string) {
		e.metrics.retries.WithLabelValues(kind).Inc()
	})
	return nil
}

// Start implements kernel.Starter. It returns once a configuration is in
// force and the listeners are open.
func (e *Entry) Start(ctx context.Context) error {
	go e.transport.Run(ctx)
	go e.callers.Run(ctx)
	go e.config.Run(ctx)
	if e.settings.Peers != "" {
		e.joined = time.Now()
	}
	go e.node.Run(ctx)
	go e.runMembers(ctx)
	go e.expireServers(ctx)
	go e.pollReports(ctx)
	go e.sweepAnswers(ctx)
	go e.configureStores(ctx)
	go e.catalogue.Run(ctx)
	e.runExports(ctx)
	peerListener, err := e.transport.Listen(e.settings.PeerListen)
	if err != nil {
		return err
	}
	e.serve(&e.peer, peerListener, e.peerRoutes())
	if err := e.listen(&e.backend, e.settings.BackendListen, e.backendRoutes()); err != nil {
		return err
	}
	callers, err := e.callers.Listen(e.settings.Listen)
	if err != nil {
		return err
	}
	e.serve(&e.public, callers, e.publicRoutes())
	return nil
}

// connState follows the callers' connections alone.
func (e *Entry) connState(server **http.Server) func(net.Conn, http.ConnState) {
	if server != &e.public {
		return nil
	}
	return e.gate.follow
}

func (e *Entry) listen(server **http.Server, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	e.serve(server, listener, handler)
	return nil
}

func (e *Entry) serve(server **http.Server, listener net.Listener, handler http.Handler) {
	limits := httpserver.Internal
	if server == &e.public {
		// Callers are refused in the typed form, by the handler.
		limits = httpserver.Limits{BodyBytes: maxBodyBytes}
	}
	s := httpserver.New(handler, limits)
	s.ConnState = e.connState(server)
	*server = s
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.logger.Error("listener ended", slog.Any("address", listener.Addr()), slog.Any("error", err))
		}
	}()
}

// Ready says why the entry cannot take requests, or nil.
func (e *Entry) Ready() error {
	if e.config == nil || e.config.View().Revision == 0 {
		return errors.New("no configuration is in force")
	}
	if refused := e.mayDispatch(time.Now()); refused != nil {
		return refused
	}
	if e.joining(time.Now()) {
		return errors.New("joining the other entries")
	}
	return nil
}

func (e *Entry) expireServers(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, name := range e.fleet.Expire(now) {
				e.logger.Warn("backend server silent", slog.String("server", name))
			}
			e.spreadServers(ctx)
		}
	}
}

// Stop implements kernel.Stopper.
func (e *Entry) Stop(ctx context.Context) error {
	if e.node != nil {
		e.node.Leave(ctx)
	}
	for _, s := range []*http.Server{e.public, e.backend, e.peer} {
		if s != nil {
			_ = s.Close() // open connections are cut on purpose here
		}
	}
	return nil
}
