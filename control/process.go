package control

import (
	"context"
	"errors"
	"flag"
	"log/slog"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/replog"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/httpserver"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/telemetry"
	"github.com/galenaarch/galenaarch/transport"
)

// MainGroup is the group that holds the configuration and the leases.
const MainGroup = "main"

// Settings of a control replica.
type Settings struct {
	Instance      string
	FailureDomain string
	Listen        string
	MetricsListen string
	DataDir       string
	// Replicas lists name=URL of the initial replicas; empty for one alone.
	Replicas string
	// CallRetention is how long the record of a finished call is kept.
	CallRetention time.Duration
	// Seeds lists the IP:port of a few instances of this program, as others
	// know them; with it the group is open, and Replicas is not used. PeerPort
	// replaces the port: the port for the system's other processes.
	Seeds    string
	PeerPort int
	// Found lets the first seed found the group.
	Found bool
	// TrustFolder says that the data folder is never older than what this
	// replica acknowledged: it comes back as it was, or empty.
	TrustFolder bool
	// CompactEntries are applied between two snapshots; 0 for the default.
	CompactEntries uint64
	// TLS secures the connections to the system's other processes.
	TLS transport.Settings
}

// RegisterFlags implements settings.Set.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Instance, "instance", "", "name of this instance")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this instance")
	fs.StringVar(&s.Listen, "listen", "127.0.0.1:8090", "IP:port for the system's other processes")
	fs.StringVar(&s.MetricsListen, "metrics-listen", "127.0.0.1:9091", "IP:port for metrics and health")
	s.TLS.RegisterFlags(fs)
	fs.StringVar(&s.DataDir, "data-dir", "", "folder for durable state")
	fs.StringVar(&s.Replicas, "replicas", "", "initial replicas as name=URL, comma-separated, in the same order at all of them; the first founds the group")
	fs.StringVar(&s.Seeds, "seeds", "", "IP:port of a few control instances, comma-separated, in the same order at all; in place of -replicas")
	fs.IntVar(&s.PeerPort, "peer-port", 0, "port that replaces the one in -seeds, for the system's other processes; 0 leaves it")
	fs.BoolVar(&s.Found, "found", false, "the first of -seeds may found the group; only at the very first start")
	fs.BoolVar(&s.TrustFolder, "trust-folder", false, "the data folder never comes back older than it was")
	fs.Uint64Var(&s.CompactEntries, "compact-entries", 0, "log entries between two snapshots; 0 for the default of 50,000")
	fs.DurationVar(&s.CallRetention, "call-retention", DefaultCallRetention, "how long the record of a finished call is kept; longer than any client retries")
}

// Check implements settings.Set.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("instance", s.Instance)
	c.Required("failure-domain", s.FailureDomain)
	c.Address("listen", s.Listen)
	c.Address("metrics-listen", s.MetricsListen)
	s.TLS.Check(c, []string{s.Listen}, nil)
	c.WritableDir("data-dir", s.DataDir)
	settings.Positive(c, "call-retention", s.CallRetention, "duration")
	if s.Seeds != "" {
		if s.Replicas != "" {
			c.Add("seeds", "excludes -replicas")
		}
		for _, a := range settings.List(s.Seeds) {
			c.Address("seeds", a)
		}
		return
	}
	peers := s.peers()
	own := false
	for _, p := range peers {
		own = own || p.Name == s.Instance
		c.URLs("replicas", p.URL)
		if p.Name == "" || p.URL == "" || strings.Contains(p.Name, "/") {
			c.Add("replicas", "%q: expected name=URL, without / in the name", p.Name)
		}
	}
	if !own {
		c.Add("replicas", "does not name this instance %q", s.Instance)
	}
}

// peers lists the initial replicas.
func (s *Settings) peers() []replog.Peer {
	if s.Seeds != "" {
		return SeedPeers(s.Seeds, s.PeerPort)
	}
	var list []replog.Peer
	for _, part := range settings.List(s.Replicas) {
		name, url, _ := strings.Cut(part, "=")
		list = append(list, replog.Peer{Name: name, URL: url})
	}
	if len(list) == 0 {
		scheme := "http://"
		if s.TLS.Enabled() {
			scheme = "https://"
		}
		list = []replog.Peer{{Name: s.Instance, URL: scheme + s.Listen}}
	}
	return list
}

// SeedPeers makes base URLs of a list of seeds. A port above 0 replaces theirs.
func SeedPeers(seeds string, port int) []replog.Peer {
	var list []replog.Peer
	for _, a := range settings.List(seeds) {
		ap, err := netip.ParseAddrPort(a)
		if err != nil {
			continue // refused by Check
		}
		if port > 0 {
			ap = netip.AddrPortFrom(ap.Addr(), uint16(port))
		}
		list = append(list, replog.Peer{URL: "http://" + ap.String()})
	}
	return list
}

// replog are the settings of this replica's part of a group.
func (s *Settings) replog(group string) replog.Settings {
	r := replog.Settings{
		Group: group, Name: s.Instance, Dir: filepath.Join(s.DataDir, group), Replicas: s.peers(),
		CompactEntries: s.CompactEntries, Open: s.Seeds != "", MayFound: s.Found,
	}
	if r.Open {
		r.URL = "http://" + s.Listen
	}
	if s.TrustFolder {
		r.LeaderWait = -1
	}
	return r
}

// Replica is the component of a control process.
type Replica struct {
	settings Settings
	kernel   *kernel.Context
	logger   *slog.Logger
	log      atomic.Pointer[GroupLog]
	mounts   map[string]http.Handler
	secured  *transport.Transport
	server   *http.Server
	// reopenEvery is the pause before a log that failed is opened again.
	reopenEvery time.Duration
	stopped     chan struct{}
	tended      sync.WaitGroup
}

// NewReplica returns a replica with the given settings.
func NewReplica(s Settings) *Replica {
	if s.CallRetention == 0 {
		s.CallRetention = DefaultCallRetention
	}
	return &Replica{settings: s, reopenEvery: reopenEvery, stopped: make(chan struct{}), mounts: make(map[string]http.Handler)}
}

// Name implements kernel.Component.
func (r *Replica) Name() string { return "control" }

// Provision implements kernel.Provisioner.
func (r *Replica) Provision(ctx *kernel.Context) error {
	r.kernel = ctx
	r.logger = ctx.Logger
	secured, err := transport.New(r.settings.TLS, ctx.Logger)
	r.secured = secured
	return eris.Wrap(err, "certificates")
}

// Start implements kernel.Starter. It does not wait for the other replicas.
func (r *Replica) Start(ctx context.Context) error {
	go r.secured.Run(ctx)
	if err := r.open(); err != nil {
		return err
	}
	listener, err := r.secured.Listen(r.settings.Listen)
	if err != nil {
		return err
	}
	r.server = httpserver.New(r.routes(), httpserver.Internal)
	go func() {
		if err := r.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.logger.Error("listener ended", slog.Any("error", err))
		}
	}()
	registerMetrics(r.kernel.Registry, r.Log)
	if err := r.Log().Start(ctx); err != nil {
		return err
	}
	r.tended.Add(1)
	go r.tend(ctx)
	return nil
}

// open opens this replica's part of the log.
func (r *Replica) open() error {
	log, err := OpenGroupLog(MainGroup, r.settings, &http.Client{Transport: r.secured.HTTPTransport()}, r.logger)
	if err != nil {
		return eris.Wrapf(err, "open state in %s", r.settings.DataDir)
	}
	r.log.Store(log)
	return nil
}

// reopenEvery is the pause before a log that failed is opened again: a disk that
// is full or refuses writes does so for seconds.
const reopenEvery = time.Second

// tend opens the log again when it has failed, so that a replica outlives a bad
// spell of its disk. What it had not synced it never acknowledged.
func (r *Replica) tend(ctx context.Context) {
	defer r.tended.Done()
	ticker := time.NewTicker(r.reopenEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.stopped:
			return
		case <-ticker.C:
		}
		failed := r.Log()
		err := failed.group.Err()
		if err == nil || errors.Is(err, replog.ErrOldDisk) {
			continue // an older folder stays refused until an operator empties it
		}
		r.logger.Warn("log is opened again", slog.Any("error", err))
		failed.stop()
		failed.group.Kill()
		if err := r.open(); err != nil {
			r.logger.Error("log not opened again", slog.Any("error", err))
			continue
		}
		if err := r.Log().Start(ctx); err != nil {
			r.logger.Error("log not started again", slog.Any("error", err))
		}
	}
}

func (r *Replica) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(controlv1.ControlPathPrefix, telemetry.Handler("control", controlv1.NewControlServer(NewServer(currentLog{r}))))
	mux.Handle(consensusv1.ConsensusPathPrefix, consensusv1.NewConsensusServer(newPeerServer(func() []*GroupLog { return []*GroupLog{r.Log()} })))
	for prefix, h := range r.mounts {
		mux.Handle(prefix, h)
	}
	return mux
}

// currentLog is a replica's log as it is open now.
type currentLog struct{ replica *Replica }

var _ Log = currentLog{}

// Propose implements Log.
func (l currentLog) Propose(ctx context.Context, cmd *controlv1.Command) (*controlv1.Result, error) {
	return l.replica.Log().Propose(ctx, cmd)
}

// Read implements Log.
func (l currentLog) Read(ctx context.Context, view func(*state.State)) error {
	return l.replica.Log().Read(ctx, view)
}

// Peek implements Log.
func (l currentLog) Peek(view func(*state.State)) { l.replica.Log().Peek(view) }

// ConfigChanged implements Log.
func (l currentLog) ConfigChanged() <-chan struct{} { return l.replica.Log().ConfigChanged() }

// Leader implements Log.
func (l currentLog) Leader() string { return l.replica.Log().Leader() }

// Mount adds a handler for the system's other processes. It must be called
// before Start.
func (r *Replica) Mount(prefix string, h http.Handler) { r.mounts[prefix] = h }

// Instance is the name of this instance.
func (r *Replica) Instance() string { return r.settings.Instance }

// URL is where the system's other processes reach this replica.
func (r *Replica) URL() string { return "http://" + r.settings.Listen }

// Log is this replica's part of the log, or nil before Start.
func (r *Replica) Log() *GroupLog { return r.log.Load() }

// Local is the service of this replica, without the network.
func (r *Replica) Local() controlv1.Control { return NewServer(currentLog{r}) }

// Leads reports whether this replica believes that it leads.
func (r *Replica) Leads() bool { return r.Log().Leads() }

// Confirm asks the quorum whether this replica leads and returns its term.
func (r *Replica) Confirm(ctx context.Context) (uint64, error) { return r.Log().Confirm(ctx) }

// Ready says why the replica cannot serve, or nil. A follower is ready: it
// tells callers who leads.
func (r *Replica) Ready() error {
	log := r.Log()
	if log == nil {
		return errors.New("state is not open")
	}
	return log.Ready()
}

// Stop implements kernel.Stopper. A leader hands over first.
func (r *Replica) Stop(context.Context) error {
	select {
	case <-r.stopped:
	default:
		close(r.stopped)
	}
	r.tended.Wait()
	if log := r.Log(); log != nil {
		_ = log.Close() // always nil
	}
	if r.server != nil {
		_ = r.server.Close() // requests under way learn that the outcome is unknown
	}
	return nil
}
