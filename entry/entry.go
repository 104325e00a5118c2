// Package entry implements the request path: the public API, routing to backend
// servers, stream relaying, plain service calls and the announcement endpoint
// of backend servers.
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
	"github.com/galenaarch/galenaarch/httpclient"
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

// Limits of the listeners and connections.
const (
	maxBodyBytes = 16 << 20
	bodyTimeout  = time.Minute
	// maxOpenRequests bounds concurrent requests, streams included.
	maxOpenRequests = 20000
	dialTimeout     = time.Second
	reportTimeout   = 2 * time.Second
	expireInterval  = 100 * time.Millisecond
	maxIdlePerPeer  = 256
	maxSeenBlocks   = 1 << 18
	// retryRatio is the fraction of requests that may be retries. retryBurst is
	// the number of retries that can accumulate to absorb the loss of a backend
	// server.
	retryRatio = 0.2
	retryBurst = 200
)

// Entry is one instance of the entry tier.
type Entry struct {
	settings Settings
	logger   *slog.Logger
	kernel   *kernel.Context
	metrics  *metrics

	control         controlv1.Control
	transport       *transport.Transport
	publicTransport *transport.Transport
	config          *watch.Watcher
	answers         *answers.Store
	tracker         *requestTracker
	admitter        *admitter
	// openRequests counts requests being handled.
	openRequests atomic.Int64

	dispatchState
	kvCacheState
	membershipState
	httpServers
}

// dispatchState holds what routing and dispatching a request needs.
type dispatchState struct {
	fleet *fleet.Table
	// cachedEligibility is the eligibility computed for the last routing
	// decision.
	cachedEligibility atomic.Pointer[eligibility]
	policies          *policySet
	prefills          *prefills
	engineClient      *http.Client
	dispatcher        *services.Dispatcher
	retryBudget       *retry.Budget
}

// kvCacheState tracks where KV blocks are stored and how large they are.
type kvCacheState struct {
	links      *link.Set
	catalogue  *catalogue.Catalogue
	seenBlocks *kvcache.SeenBlocks
	exports    *exportQueue
	// calibration corrects estimated token counts. blockBytes is the size of
	// the last exported block.
	calibration kvcache.Calibration
	blockBytes  atomic.Int64
}

// membershipState holds what this entry knows about the other entries and what
// it publishes to them.
type membershipState struct {
	node    *membership.Node
	members membership.MemberSource
	// joinedAt is when this entry started joining the cluster; zero if it has
	// no seeds.
	joinedAt time.Time
	joinWait time.Duration
	// peerLoanRequests holds the limit shares that other entries want to borrow, by
	// instance. Guarded by the admitter's mutex.
	peerLoanRequests map[string][]admission.LoanRequest
	// peerStates holds the state last published by each other entry. Guarded by
	// peerStatesMu.
	peerStatesMu sync.Mutex
	peerStates   map[string]*memberv1.EntryState
	// published holds the last value of each published item. Guarded by
	// publishedMu.
	publishedMu sync.Mutex
	published   map[string][]byte
}

// httpServers holds the HTTP servers for clients, backend servers and other
// entries.
type httpServers struct {
	public *http.Server
	// publicListener is closed before public.
	publicListener net.Listener
	backend        *http.Server
	peer           *http.Server
}

// New returns an Entry with the given settings.
func New(s Settings) *Entry {
	return &Entry{settings: s, membershipState: membershipState{joinWait: admission.JoinDelay}}
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
	internalTransport, err := transport.New(e.settings.TLS, ctx.Logger)
	if err != nil {
		return eris.Wrap(err, "load TLS certificates")
	}
	e.transport = internalTransport
	e.publicTransport, err = transport.NewClientListenerTransport(e.settings.ClientTLS, ctx.Logger)
	if err != nil {
		return eris.Wrap(err, "load TLS certificate for clients")
	}
	incarnation := uint64(time.Now().UnixNano())
	e.control = client.New(settings.SplitList(e.settings.Control), internalTransport.Client())
	e.config = watch.New(e.control, watch.Instance{
		Name:          e.settings.Instance,
		Role:          "entry",
		Environment:   e.settings.Environment,
		FailureDomain: e.settings.FailureDomain,
		Incarnation:   incarnation,
	}, ctx.Logger)
	e.node = e.newNode(ctx, incarnation)
	e.members = e.node
	e.tracker = newRequestTracker()
	e.admitter = newAdmitter(ctx.Registry)
	e.peerLoanRequests = make(map[string][]admission.LoanRequest)
	e.peerStates = make(map[string]*memberv1.EntryState)
	e.published = make(map[string][]byte)
	e.engineClient = &http.Client{Transport: httpclient.Whole(&http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerPeer,
		DisableCompression:     true,
		MaxResponseHeaderBytes: httpclient.MaxRelayedHeaderBytes,
	})}
	e.fleet = fleet.NewTable(e.settings.ServerTTL)
	if err := e.provisionKVCache(); err != nil {
		return err
	}
	e.seenBlocks = kvcache.NewSeenBlocks(maxSeenBlocks)
	e.policies = newPolicySet()
	e.retryBudget = retry.NewBudget(retryRatio, retryBurst)
	e.answers = newAnswerStore()
	e.dispatcher = services.NewDispatcher(e.settings.Instance, e.control, e.retryBudget, func(kind string) {
		e.metrics.retries.WithLabelValues(kind).Inc()
	})
	return nil
}

// Start implements kernel.Starter. It returns once the listeners are open.
func (e *Entry) Start(ctx context.Context) error {
	go e.transport.Run(ctx)
	go e.publicTransport.Run(ctx)
	go e.config.Run(ctx)
	if e.settings.Peers != "" {
		e.joinedAt = time.Now()
	}
	go e.node.Run(ctx)
	go e.runPublisher(ctx)
	go e.expireServers(ctx)
	go e.pollReports(ctx)
	go e.sweepAnswers(ctx)
	go e.syncStores(ctx)
	go e.catalogue.Run(ctx)
	e.startExporters(ctx)
	plain := func(l net.Listener) net.Listener { return l }
	if _, err := e.listen(&e.peer, "peers", e.settings.PeerListen, e.transport.Secure, e.peerRoutes()); err != nil {
		return err
	}
	if _, err := e.listen(&e.backend, "servers", e.settings.BackendListen, plain, e.backendRoutes()); err != nil {
		return err
	}
	var err error
	e.publicListener, err = e.listen(&e.public, "clients", e.settings.Listen, e.publicTransport.Secure, e.publicRoutes())
	return err
}

// connState returns the connection-state hook for a server. Only the
// client-facing server is tracked.
func (e *Entry) connState(server **http.Server) func(net.Conn, http.ConnState) {
	if server != &e.public {
		return nil
	}
	return e.tracker.trackConn
}

// listen opens a listener on address and serves handler on it in the background. secure adds TLS above
// the counted connections. The server is stored in *server.
func (e *Entry) listen(server **http.Server, name, address string, secure func(net.Listener) net.Listener, handler http.Handler) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	limits := httpserver.InternalLimits
	if server == &e.public {
		// The handlers enforce the limits for clients, so that violations get a
		// typed error body.
		limits = httpserver.Limits{MaxBodyBytes: maxBodyBytes}
	}
	s := httpserver.New(handler, limits)
	s.ConnState = e.connState(server)
	*server = s
	counted := secure(e.kernel.Intake.Protect(s, listener, name))
	go func() {
		if err := s.Serve(counted); !httpserver.IsClosed(err) {
			e.logger.Error("listener failed", slog.Any("address", listener.Addr()), slog.Any("error", err))
		}
	}()
	return listener, nil
}

// Ready returns the reason why the entry cannot accept requests, or nil.
func (e *Entry) Ready() error {
	if e.config == nil || e.config.View().Revision == 0 {
		return errors.New("no configuration is in force")
	}
	if refused := e.checkDispatch(time.Now()); refused != nil {
		return refused
	}
	if e.joining(time.Now()) {
		return errors.New("joining the other entries")
	}
	return nil
}

// expireServers marks backend servers that no longer announce themselves as silent
// and publishes the changed server records, periodically until ctx is done.
func (e *Entry) expireServers(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, name := range e.fleet.Expire(now) {
				e.logger.Warn("backend server expired", slog.String("server", name))
			}
			e.publishServers(ctx)
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
			_ = s.Close() // intentionally cuts open connections
		}
	}
	return nil
}
