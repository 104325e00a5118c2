package control

import (
	"context"
	"errors"
	"flag"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/consensusv1"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/replog"
	"github.com/galenaarch/galenaarch/control/state"
	"github.com/galenaarch/galenaarch/httpclient"
	"github.com/galenaarch/galenaarch/httpserver"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/storage"
	"github.com/galenaarch/galenaarch/telemetry"
	"github.com/galenaarch/galenaarch/transport"
)

// MainGroup is the name of the group that holds the control state.
const MainGroup = "main"

// Settings configures a control replica.
type Settings struct {
	Instance      string
	FailureDomain string
	Listen        string
	MetricsListen string
	DataDir       string
	// Replicas lists the initial replicas as name=URL; empty for a
	// single-replica group.
	Replicas string
	// CallRetention is how long the record of a finished call is kept.
	CallRetention time.Duration
	// Seeds lists the advertised IP:port of a few control instances. If it is
	// set, the membership is dynamic and Replicas is ignored. A PeerPort above 0
	// replaces the port of each seed by the internal listen port.
	Seeds    string
	PeerPort int
	// MayBootstrap allows the first seed to bootstrap the group.
	MayBootstrap bool
	// ToleratedLosses is the number of control instances that may lose their disks at
	// the same time.
	ToleratedLosses int
	// CatchUpSeconds is how long after its return a control instance still counts as lost.
	CatchUpSeconds float64
	// TrustDataDir asserts that the data directory is never rolled back to an
	// older copy: after a restart it is either unchanged or empty.
	TrustDataDir bool
	// SnapshotThreshold is the number of entries applied between two snapshots; 0
	// selects the default.
	SnapshotThreshold uint64
	// DiskMB is the room for DataDir in MB; 0 if it is not known.
	DiskMB int64
	// Files is the file system of DataDir; nil for that of the operating system.
	Files storage.FileSystem
	// TLS configures the connections between the system's processes.
	TLS transport.Settings
}

// RegisterFlags implements settings.Set.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Instance, "instance", "", "name of this instance")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this instance")
	fs.StringVar(&s.Listen, "listen", "127.0.0.1:8090", "IP:port for internal requests from the system's other processes")
	fs.StringVar(&s.MetricsListen, "metrics-listen", "127.0.0.1:9091", "IP:port for metrics and health")
	s.TLS.RegisterFlags(fs)
	fs.StringVar(&s.DataDir, "data-dir", "", "directory for durable state")
	fs.StringVar(&s.Replicas, "replicas", "", "comma-separated initial replicas as name=URL, in the same order on every replica; the first bootstraps the group")
	fs.StringVar(&s.Seeds, "seeds", "", "comma-separated IP:port of three control instances, or of all if there are fewer at the first start, in the same order on every replica; replaces -replicas")
	fs.IntVar(&s.PeerPort, "peer-port", 0, "internal port that replaces the one in -seeds; 0 keeps the given port")
	fs.BoolVar(&s.MayBootstrap, "found", false, "allow the first of -seeds to bootstrap the group; set only for the very first start")
	fs.IntVar(&s.ToleratedLosses, "tolerated-losses", 1, "control instances that may lose their disks at the same time; with three -seeds the group is founded once there are twice as many and one, and has no fewer voters")
	fs.Float64Var(&s.CatchUpSeconds, "catch-up-seconds", 10, "how long after its return a control instance still counts as lost; with -seeds, one that is silent for as long is removed from the group until it returns")
	fs.BoolVar(&s.TrustDataDir, "trust-folder", false, "the data directory is never restored from an older copy")
	fs.Uint64Var(&s.SnapshotThreshold, "compact-entries", 0, "log entries between two snapshots; 0 selects the default of 50,000")
	fs.Int64Var(&s.DiskMB, "disk-mb", 0, "room for -data-dir in MB; the log is compacted once it takes an eighth of it, 64 MiB at most. 0: not known")
	fs.DurationVar(&s.CallRetention, "call-retention", DefaultCallRetention, "how long the record of a finished call is kept; must exceed the time for which any client retries")
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
	if s.DiskMB < 0 {
		c.Add("disk-mb", "must be at least 0")
	}
	if s.CatchUpSeconds < 0 {
		c.Add("catch-up-seconds", "must be at least 0")
	}
	if s.ToleratedLosses < 0 {
		c.Add("tolerated-losses", "must be at least 0")
	}
	if s.Seeds != "" {
		if s.Replicas != "" {
			c.Add("seeds", "excludes -replicas")
		}
		for _, a := range settings.SplitList(s.Seeds) {
			c.Address("seeds", a)
		}
		return
	}
	peers := s.initialPeers()
	includesSelf := false
	for _, p := range peers {
		includesSelf = includesSelf || p.Name == s.Instance
		c.URLs("replicas", p.URL)
		if p.Name == "" || p.URL == "" || strings.Contains(p.Name, "/") {
			c.Add("replicas", "%q: expected name=URL, without / in the name", p.Name)
		}
	}
	if !includesSelf {
		c.Add("replicas", "does not name this instance %q", s.Instance)
	}
}

// initialPeers returns the initial replicas.
func (s *Settings) initialPeers() []replog.Peer {
	if s.Seeds != "" {
		return ParseSeeds(s.Seeds, s.PeerPort)
	}
	var list []replog.Peer
	for _, part := range settings.SplitList(s.Replicas) {
		name, url, _ := strings.Cut(part, "=")
		list = append(list, replog.Peer{Name: name, URL: url})
	}
	if len(list) == 0 {
		scheme := "http://"
		if s.TLS.TLSEnabled() {
			scheme = "https://"
		}
		list = []replog.Peer{{Name: s.Instance, URL: scheme + s.Listen}}
	}
	return list
}

// ParseSeeds converts a comma-separated list of IP:port seeds to peers with base
// URLs. A port above 0 replaces the port of each seed. Invalid seeds are skipped;
// Settings.Check reports them.
func ParseSeeds(seeds string, port int) []replog.Peer {
	var list []replog.Peer
	for _, a := range settings.SplitList(seeds) {
		ap, err := netip.ParseAddrPort(a)
		if err != nil {
			continue // rejected by Check
		}
		if port > 0 {
			ap = netip.AddrPortFrom(ap.Addr(), uint16(port))
		}
		list = append(list, replog.Peer{URL: "http://" + ap.String()})
	}
	return list
}

// replogSettings returns the replicated-log settings of this replica for a
// group.
func (s *Settings) replogSettings(group string) replog.Settings {
	r := replog.Settings{
		Group: group, Name: s.Instance, Dir: filepath.Join(s.DataDir, group), Replicas: s.initialPeers(),
		SnapshotThreshold: s.SnapshotThreshold, Files: s.Files, DynamicMembership: s.Seeds != "", MayBootstrap: s.MayBootstrap,
		ToleratedLosses: s.ToleratedLosses, CatchUpTime: time.Duration(s.CatchUpSeconds * float64(time.Second)), DiskBytes: s.DiskMB * 1e6,
	}
	if r.DynamicMembership {
		r.URL = "http://" + s.Listen
	}
	if s.TrustDataDir {
		r.LeaderWait = -1
	}
	return r
}

// Replica is the kernel component that runs a control replica.
type Replica struct {
	settings     Settings
	kernel       *kernel.Context
	logger       *slog.Logger
	log          atomic.Pointer[ReplicatedLog]
	mounts       map[string]http.Handler
	tlsTransport *transport.Transport
	server       *http.Server
	// reopenInterval is the interval at which a failed log is reopened.
	reopenInterval time.Duration
	stopped        chan struct{}
	supervisor     sync.WaitGroup
}

// NewReplica returns a replica with the given settings.
func NewReplica(s Settings) *Replica {
	if s.CallRetention == 0 {
		s.CallRetention = DefaultCallRetention
	}
	return &Replica{settings: s, reopenInterval: reopenInterval, stopped: make(chan struct{}), mounts: make(map[string]http.Handler)}
}

// Name implements kernel.Component.
func (r *Replica) Name() string { return "control" }

// Provision implements kernel.Provisioner.
func (r *Replica) Provision(ctx *kernel.Context) error {
	r.kernel = ctx
	r.logger = ctx.Logger
	tlsTransport, err := transport.New(r.settings.TLS, ctx.Logger)
	r.tlsTransport = tlsTransport
	return eris.Wrap(err, "load certificates")
}

// Start implements kernel.Starter. It does not wait for the other replicas.
func (r *Replica) Start(ctx context.Context) error {
	go r.tlsTransport.Run(ctx)
	if err := r.awaitRoom(ctx); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", r.settings.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", r.settings.Listen)
	}
	r.server = httpserver.New(r.routes(), httpserver.InternalLimits)
	listener = r.tlsTransport.Secure(r.kernel.Intake.Protect(r.server, listener, "control"))
	go func() {
		if err := r.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			r.logger.Error("listener failed", slog.Any("error", err))
		}
	}()
	registerMetrics(r.kernel.Registry, r.Log)
	if err := r.Log().Start(ctx); err != nil {
		return err
	}
	r.supervisor.Add(1)
	go r.superviseLog(ctx)
	return nil
}

// awaitRoom opens this replica's log, and tries again while the disk is full: a process that
// ends is only started again.
func (r *Replica) awaitRoom(ctx context.Context) error {
	for {
		err := r.openLog()
		if !errors.Is(err, syscall.ENOSPC) {
			return err
		}
		r.logger.Error("cannot open the state on a full disk", slog.Any("error", err))
		select {
		case <-ctx.Done():
			return err
		case <-time.After(r.reopenInterval):
		}
	}
}

// openLog opens this replica's log.
func (r *Replica) openLog() error {
	newPeerClient := func() *http.Client {
		return &http.Client{Transport: httpclient.Bound(r.tlsTransport.HTTPTransport(), httpclient.PeerLimits)}
	}
	log, err := OpenReplicatedLog(MainGroup, r.settings, newPeerClient, r.logger)
	if err != nil {
		return eris.Wrapf(err, "open state in %s", r.settings.DataDir)
	}
	r.log.Store(log)
	return nil
}

// reopenInterval is the interval at which a failed log is reopened. A disk that
// is full or rejects writes does so for seconds.
const reopenInterval = time.Second

// superviseLog reopens the log after a failure, so that a replica recovers from
// temporary disk errors. Entries that were not synced were never acknowledged,
// so losing them is safe.
func (r *Replica) superviseLog(ctx context.Context) {
	defer r.supervisor.Done()
	ticker := time.NewTicker(r.reopenInterval)
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
		if err == nil || errors.Is(err, replog.ErrStaleDataDir) {
			continue // a stale data directory stays rejected until an operator empties it
		}
		r.logger.Warn("reopening failed log", slog.Any("error", err))
		failed.stop()
		failed.group.Kill()
		if err := r.openLog(); err != nil {
			r.logger.Error("failed to reopen log", slog.Any("error", err))
			continue
		}
		failed.stateMachine.wakeWaiting() // they go on at the log that is open
		if err := r.Log().Start(ctx); err != nil {
			r.logger.Error("failed to restart log", slog.Any("error", err))
		}
	}
}

func (r *Replica) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(controlv1.ControlPathPrefix, telemetry.TraceHandler("control", controlv1.NewControlServer(NewServer(currentLog{r}))))
	mux.Handle(consensusv1.ConsensusPathPrefix, consensusv1.NewConsensusServer(newPeerServer(func() []*ReplicatedLog { return []*ReplicatedLog{r.Log()} })))
	for prefix, h := range r.mounts {
		mux.Handle(prefix, h)
	}
	return mux
}

// currentLog forwards to the log that is open at the time of the call, since a
// failed log is replaced.
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

// ReadLocal implements Log.
func (l currentLog) ReadLocal(view func(*state.State)) { l.replica.Log().ReadLocal(view) }

// ConfigChanged implements Log.
func (l currentLog) ConfigChanged() <-chan struct{} { return l.replica.Log().ConfigChanged() }

// LeaderURL implements Log.
func (l currentLog) LeaderURL() string { return l.replica.Log().LeaderURL() }

// Mount adds a handler to the internal listener. It must be called before
// Start.
func (r *Replica) Mount(prefix string, h http.Handler) { r.mounts[prefix] = h }

// Instance returns the name of this instance.
func (r *Replica) Instance() string { return r.settings.Instance }

// DataDir returns the directory for durable state.
func (r *Replica) DataDir() string { return r.settings.DataDir }

// URL returns the base URL of this replica for the system's other processes.
func (r *Replica) URL() string { return "http://" + r.settings.Listen }

// Log returns this replica's current log, or nil before Start.
func (r *Replica) Log() *ReplicatedLog { return r.log.Load() }

// LocalService returns the control service of this replica for in-process calls.
func (r *Replica) LocalService() controlv1.Control { return NewServer(currentLog{r}) }

// IsLeader reports whether this replica considers itself the leader. It does not
// ask the quorum, so the result may be stale.
func (r *Replica) IsLeader() bool { return r.Log().IsLeader() }

// ConfirmLeadership checks with a quorum that this replica is the leader and
// returns its term.
func (r *Replica) ConfirmLeadership(ctx context.Context) (uint64, error) {
	return r.Log().ConfirmLeadership(ctx)
}

// Ready returns nil, or the reason why the replica cannot serve. A follower is
// ready, since it redirects clients to the leader.
func (r *Replica) Ready() error {
	log := r.Log()
	if log == nil {
		return errors.New("state is not open")
	}
	return log.Ready()
}

// Drain implements kernel.Drainer. A leader transfers its leadership while its context still runs, and
// refers what other replicas forward to it to the next leader.
func (r *Replica) Drain(ctx context.Context) error {
	if log := r.Log(); log != nil {
		log.TransferLeadership(ctx)
	}
	return nil
}

// Stop implements kernel.Stopper.
func (r *Replica) Stop(context.Context) error {
	select {
	case <-r.stopped:
	default:
		close(r.stopped)
	}
	r.supervisor.Wait()
	if log := r.Log(); log != nil {
		_ = log.Close() // always nil
	}
	if r.server != nil {
		_ = r.server.Close() // the outcome of requests in flight is unknown to clients
	}
	return nil
}
