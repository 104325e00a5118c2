package process

import (
	"flag"
	"log/slog"
	"time"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/standin/announcer"
	"github.com/galenaarch/galenaarch/standin/engine"
	"github.com/galenaarch/galenaarch/standin/service"
	"github.com/galenaarch/galenaarch/standin/store"
	"github.com/galenaarch/galenaarch/standin/weights"
)

// Roles of a simulated backend server.
const (
	RoleEngine  = "engine"
	RoleStore   = "store"
	RoleWeights = "weights"
	RoleService = "service"
)

// Settings configures a process that simulates one backend server.
type Settings struct {
	Role          string
	Instance      string
	FailureDomain string
	Listen        string
	Entries       string
	// Engine, Store, Weights and Service apply only to the role of that name,
	// ServiceName only to the role service.
	Engine        engine.Settings
	Store         store.Settings
	Weights       weights.Settings
	Service       service.Settings
	ServiceName   string
	MetricsListen string
}

// RegisterFlags implements settings.Set.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Role, "role", RoleEngine, "engine, store, weights or service")
	fs.StringVar(&s.Instance, "instance", "", "name of the backend server")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of the backend server")
	fs.StringVar(&s.Listen, "listen", "127.0.0.1:7001", "IP:port to serve on")
	fs.StringVar(&s.Entries, "entries", "http://127.0.0.1:8081", "base URLs of the entries' backend listeners, comma-separated")
	fs.StringVar(&s.Engine.Kind, "kind", "prometheus-engine", "server kind to announce")
	fs.StringVar(&s.Engine.Deployment, "deployment", "", "deployment of an engine")
	fs.StringVar(&s.Engine.WeightVersion, "weight-version", "v1", "initial weight version of an engine")
	fs.BoolVar(&s.Engine.EnforceFencing, "checks-fencing", true, "whether an engine rejects commands with a stale fencing number")
	fs.BoolVar(&s.Engine.IgnoreWeightVersion, "ignores-version", false, "whether an engine runs requests addressed to another weight version")
	fs.IntVar(&s.Engine.DecodeSlots, "slots", 8, "number of requests an engine decodes concurrently")
	fs.IntVar(&s.Engine.CacheBlocks, "cache-blocks", 64, "size of the prefix cache; blocks")
	fs.IntVar(&s.Engine.BlockBytes, "block-bytes", 64<<10, "size of one block's cached state; bytes")
	fs.Float64Var(&s.Engine.PrefillTokensPerSecond, "prefill-rate", 20000, "prefill rate of an engine; tokens per second")
	fs.DurationVar(&s.Engine.TokenInterval, "token-interval", 5*time.Millisecond, "time between the output tokens of a request; duration")
	fs.DurationVar(&s.Engine.EventDelay, "event-delay", 0, "delay of an engine's cache events; duration")
	fs.Float64Var(&s.Engine.EventLossRatio, "event-loss", 0, "fraction of an engine's cache events that is lost; 0 to 1")
	fs.DurationVar(&s.Engine.LoadReportDelay, "report-lag", 0, "delay of the load that an engine reports; duration")
	fs.Float64Var(&s.Store.LinkBytesPerSecond, "link-rate", 64<<20, "bandwidth of a store's link; bytes per second")
	fs.Int64Var(&s.Store.CapacityBytes, "capacity", 1<<30, "capacity of a store; bytes")
	fs.DurationVar(&s.Weights.LoadTime, "load-time", 500*time.Millisecond, "duration of a weight load without concurrent loads; duration")
	fs.IntVar(&s.Weights.FullSpeedLoads, "full-speed-loads", 2, "number of concurrent weight loads that run at full speed")
	fs.StringVar(&s.ServiceName, "service", "", "name of the plain service to announce")
	fs.StringVar(&s.Service.LedgerPath, "ledger", "", "file to which a service appends the key of each order")
	fs.DurationVar(&s.Service.OrderDuration, "order-time", 10*time.Millisecond, "processing time of one order; duration")
}

// Check implements settings.Set.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("instance", s.Instance)
	c.Required("failure-domain", s.FailureDomain)
	c.Address("listen", s.Listen)
	c.URLs("entries", s.Entries)
	switch s.Role {
	case RoleEngine:
		c.Required("deployment", s.Engine.Deployment)
	case RoleService:
		c.Required("service", s.ServiceName)
	case RoleStore, RoleWeights:
	default:
		c.Add("role", "%q is none of engine, store, weights, service", s.Role)
	}
	settings.Positive(c, "slots", s.Engine.DecodeSlots, "requests")
	settings.Positive(c, "cache-blocks", s.Engine.CacheBlocks, "blocks")
	settings.Positive(c, "block-bytes", s.Engine.BlockBytes, "bytes")
	settings.Positive(c, "prefill-rate", s.Engine.PrefillTokensPerSecond, "tokens per second")
	settings.Positive(c, "link-rate", s.Store.LinkBytesPerSecond, "bytes per second")
	settings.Positive(c, "capacity", s.Store.CapacityBytes, "bytes")
}

// Build returns the component of the configured role. It uses the current time as the
// incarnation.
func (s *Settings) Build(logger *slog.Logger) *Component {
	incarnation := uint64(time.Now().UnixNano())
	switch s.Role {
	case RoleStore:
		s.Store.Incarnation = incarnation
		return New(s.Instance, s.Role, s.Listen, store.New(s.Store).Handler(), nil)
	case RoleWeights:
		return New(s.Instance, s.Role, s.Listen, weights.New(s.Weights).Handler(), nil)
	case RoleService:
		return New(s.Instance, s.Role, s.Listen, service.New(s.Service).Handler(), s.announcer(logger, s.serviceAnnouncement(incarnation)))
	}
	engineSettings := s.Engine
	engineSettings.ServerName, engineSettings.FailureDomain = s.Instance, s.FailureDomain
	engineSettings.URL, engineSettings.Incarnation = "http://"+s.Listen, incarnation
	e := engine.New(engineSettings)
	return New(s.Instance, s.Role, s.Listen, e.Handler(), s.announcer(logger, e.Announcement))
}

// serviceAnnouncement returns a function that returns the announcement of the simulated
// service.
func (s *Settings) serviceAnnouncement(incarnation uint64) func() backend.Announcement {
	a := backend.Announcement{
		Server:        s.Instance,
		Kind:          "plain-service",
		URL:           "http://" + s.Listen,
		Service:       s.ServiceName,
		FailureDomain: s.FailureDomain,
		Incarnation:   incarnation,
	}
	return func() backend.Announcement { return a }
}

func (s *Settings) announcer(logger *slog.Logger, current func() backend.Announcement) *announcer.Announcer {
	return &announcer.Announcer{SeedEntries: settings.SplitList(s.Entries), BuildAnnouncement: current, Logger: logger}
}
