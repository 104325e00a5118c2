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
	"github.com/galenaarch/galenaarch/fleetview"
	"github.com/galenaarch/galenaarch/httpserver"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/registry"
	"github.com/galenaarch/galenaarch/weights"
)

// Times of a registrar.
const (
	// answerTimeout bounds a call of an operator: they try another instance
	// after a second without an answer.
	answerTimeout = 900 * time.Millisecond
	// leaderTimeout bounds one attempt at the leader.
	leaderTimeout = 600 * time.Millisecond
	leaderPause   = 40 * time.Millisecond
	// directoryTTL is how long callers keep the directory's answer; some keep it
	// three times as long. It is short against the time for which a stopping
	// instance still serves.
	directoryTTL = time.Second
	// dialTimeout is below the second after which a lost first packet is sent
	// again.
	dialTimeout = 300 * time.Millisecond
)

// Settings of a registrar.
type Settings struct {
	// Surface is the module that speaks with the world; empty for none.
	Surface string
	// Listen serves operators and backend servers, DirectoryListen callers.
	Listen, DirectoryListen string
	// AnnounceInterval is how often servers announce themselves.
	AnnounceInterval time.Duration
	// OrderLease is how long the orders of a former leader may still stand.
	OrderLease time.Duration
	// WeightsWithin is the time in which all servers are to run the weights
	// asked for.
	WeightsWithin time.Duration
}

// RegisterFlags implements settings.Set.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Surface, "surface", "", "module that speaks with operators, backend servers and callers; empty for none")
	fs.StringVar(&s.Listen, "surface-listen", "", "IP:port for operators and backend servers")
	fs.StringVar(&s.DirectoryListen, "directory-listen", "", "IP:port for callers that ask where to connect")
	fs.DurationVar(&s.AnnounceInterval, "announce-interval", time.Second, "how often backend servers announce themselves")
	fs.DurationVar(&s.OrderLease, "order-lease", 3*time.Second, "how long a new leader waits before it orders weights")
	fs.DurationVar(&s.WeightsWithin, "weights-within", 8*time.Second, "time in which all servers are to run the weights asked for")
}

// Check implements settings.Set.
func (s *Settings) Check(c *settings.Checker) {
	if s.Surface == "" {
		return
	}
	c.Address("surface-listen", s.Listen)
	c.Address("directory-listen", s.DirectoryListen)
	settings.Positive(c, "announce-interval", s.AnnounceInterval, "duration")
}

// Registrar is the component of a control process.
type Registrar struct {
	settings Settings
	replica  *control.Replica
	logger   *slog.Logger
	hub      *registry.Hub
	// surface, view and teller are nil without a surface.
	surface Surface
	view    *fleetview.View
	teller  *contextrelay.Server
	servers []*http.Server
	client  *http.Client

	mu      sync.Mutex
	leaders map[string]controlv1.Control
}

// New returns the registrar of a replica. It must be started after it.
func New(s Settings, r *control.Replica) *Registrar {
	return &Registrar{settings: s, replica: r, leaders: make(map[string]controlv1.Control), client: &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second,
		},
	}}
}

// Name implements kernel.Component.
func (r *Registrar) Name() string { return "registrar" }

// Provision implements kernel.Provisioner.
func (r *Registrar) Provision(ctx *kernel.Context) error {
	r.logger = ctx.Logger
	r.hub = registry.NewHub(r.settings.AnnounceInterval, documents{r.replica}, r.logger)
	r.replica.Mount(fleetv1.FleetPathPrefix, httpserver.Compressed(fleetv1.NewFleetServer(r.hub)))
	if r.settings.Surface == "" {
		return nil
	}
	return r.provisionSurface()
}

// provisionSurface makes what speaks with the world and tells entry instances of
// it.
func (r *Registrar) provisionSurface() error {
	var err error
	if r.surface, err = kernel.New[Surface](kernel.ID("registrar.surface." + r.settings.Surface)); err != nil {
		return err
	}
	feed, err := kernel.New[contexts.Feed](kernel.ID("contexts.feed." + r.settings.Surface))
	if err != nil {
		return err
	}
	r.view = fleetview.New([]string{r.replica.URL()}, nil, r.client, r.logger)
	r.teller = contextrelay.NewServer(r.replica.URL(), feed, r.view, r.surface.Document, r.leaves, r.logger)
	r.replica.Mount(fleetv1.ContextsPathPrefix, fleetv1.NewContextsServer(r.teller))
	return nil
}

// leaves notes that a server has said to this instance that it leaves.
func (r *Registrar) leaves(server string, born int64) {
	r.hub.Leaves(server, born, r.replica.Instance())
}

// Hub is the feed of this instance.
func (r *Registrar) Hub() *registry.Hub { return r.hub }

// Start implements kernel.Starter.
func (r *Registrar) Start(ctx context.Context) error {
	go r.hub.Run(ctx)
	if r.surface == nil {
		return nil
	}
	r.view.Start(ctx)
	if err := r.orderWeights(ctx); err != nil {
		return err
	}
	go r.teller.Run(ctx)
	if err := r.serve(r.settings.Listen, r.surface.Control(r)); err != nil {
		return err
	}
	return r.serve(r.settings.DirectoryListen, r.surface.Directory(r))
}

// orderWeights begins to bring servers to the weights asked for, whenever this
// replica leads.
func (r *Registrar) orderWeights(ctx context.Context) error {
	engines, err := kernel.New[weights.Engines](kernel.ID("weights.engines." + r.settings.Surface))
	if err != nil {
		return err
	}
	stores, err := kernel.New[weights.Stores](kernel.ID("contexts.feed." + r.settings.Surface))
	if err != nil {
		return err
	}
	runner := weights.NewRunner(r.replica.Instance(), r.settings.OrderLease, r.settings.WeightsWithin, engines, stores, r.replica, r.view, r.hub.Observe, r.leaves, r.surface.Document, r.logger)
	go runner.Run(ctx)
	return nil
}

func (r *Registrar) serve(address string, h http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
	}
	server := httpserver.New(h, httpserver.Internal)
	r.servers = append(r.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.logger.Error("listener ended", slog.String("address", address), slog.Any("error", err))
		}
	}()
	return nil
}

// Stop implements kernel.Stopper.
func (r *Registrar) Stop(context.Context) error {
	for _, s := range r.servers {
		_ = s.Close() // callers ask another instance
	}
	return nil
}

// Interface guard.
var _ Desk = (*Registrar)(nil)

// Hear implements Desk.
func (r *Registrar) Hear(a *fleetv1.Announcement) { r.hub.Hear(a) }

// Leave implements Desk.
func (r *Registrar) Leave(server string, born int64) { r.hub.Leave(server, born) }

// Accepting implements Desk.
func (r *Registrar) Accepting(domain string, most int) ([]string, time.Duration) {
	return r.hub.Accepting(domain, most), directoryTTL
}

// Publish implements Desk.
func (r *Registrar) Publish(ctx context.Context, d *controlv1.PublishedDocument) (*controlv1.PublishResponse, error) {
	began := time.Now()
	response, err := atLeader(ctx, r, &controlv1.PublishRequest{Document: d}, controlv1.Control.Publish)
	r.logger.Info("document offered", slog.String("document", d.Name), slog.Uint64("version", d.Version), slog.Int("bytes", len(d.Content)),
		slog.String("outcome", response.GetOutcome().String()), slog.Uint64("held", response.GetHeldVersion()),
		slog.Duration("took", time.Since(began)), slog.Any("error", err))
	return response, err
}

// Newest implements Desk.
func (r *Registrar) Newest(ctx context.Context, name string) (*controlv1.PublishedDocument, error) {
	response, err := atLeader(ctx, r, &controlv1.GetPublishedRequest{Name: name}, controlv1.Control.GetPublished)
	if err != nil {
		r.logger.Info("newest document not known", slog.String("document", name), slog.Any("error", err))
	}
	return response.GetDocument(), err
}

// atLeader calls this replica, which knows who leads, and then the leader.
func atLeader[Q, R any](ctx context.Context, r *Registrar, request Q, method func(controlv1.Control, context.Context, Q) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	var zero R
	for {
		response, err := method(r.replica.Local(), ctx, request)
		if err == nil {
			return response, nil
		}
		if url := leaderOf(err); url != "" {
			attempt, stop := context.WithTimeout(ctx, leaderTimeout)
			response, err = method(r.leader(url), attempt, request)
			stop()
			if err == nil {
				return response, nil
			}
		}
		select {
		case <-ctx.Done():
			return zero, eris.Wrap(errors.Join(ErrUnsure, err), "ask the leader")
		case <-time.After(leaderPause):
		}
	}
}

func leaderOf(err error) string {
	var te twirp.Error
	if !errors.As(err, &te) {
		return ""
	}
	return te.Meta(control.LeaderMeta)
}

func (r *Registrar) leader(url string) controlv1.Control {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.leaders[url]
	if c == nil {
		c = controlv1.NewControlProtobufClient(url, r.client)
		r.leaders[url] = c
	}
	return c
}

// documents is what the feed passes on of this replica's state.
type documents struct{ replica *control.Replica }

// Published implements registry.Documents.
func (d documents) Published() []*controlv1.PublishedDocument {
	var list []*controlv1.PublishedDocument
	if log := d.replica.Log(); log != nil {
		log.Peek(func(st *state.State) { list = st.PublishedUnder("") })
	}
	return list
}

// Changed implements registry.Documents.
func (d documents) Changed() <-chan struct{} {
	if log := d.replica.Log(); log != nil {
		return log.ConfigChanged()
	}
	return nil
}

// Members implements registry.Documents.
func (d documents) Members() []string {
	if log := d.replica.Log(); log != nil {
		return log.Members()
	}
	return nil
}
