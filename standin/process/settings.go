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

// Roles of a stand-in process.
const (
	RoleEngine  = "engine"
	RoleStore   = "store"
	RoleWeights = "weights"
	RoleService = "service"
)

// Settings of a stand-in process.
type Settings struct {
	Role          string
	Instance      string
	FailureDomain string
	Listen        string
	Entries       string
	// Engine, Store, Weights and ServiceName are read by role.
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
	fs.StringVar(&s.Engine.Kind, "kind", "prometheus-engine", "server kind that is announced")
	fs.StringVar(&s.Engine.Deployment, "deployment", "", "deployment of an engine")
	fs.StringVar(&s.Engine.WeightVersion, "weight-version", "v1", "weight version of an engine at start")
	fs.BoolVar(&s.Engine.ChecksFencing, "checks-fencing", true, "engine refuses orders with an old fencing number")
	fs.BoolVar(&s.Engine.IgnoresVersion, "ignores-version", false, "engine runs requests that were meant for another weight version")
	fs.IntVar(&s.Engine.Slots, "slots", 8, "runs decoded at once")
	fs.IntVar(&s.Engine.CacheBlocks, "cache-blocks", 64, "size of the prefix cache; blocks")
	fs.IntVar(&s.Engine.BlockBytes, "block-bytes", 64<<10, "size of a block's cached state; bytes")
	fs.Float64Var(&s.Engine.PrefillRate, "prefill-rate", 20000, "rate of computing context; tokens a second")
	fs.DurationVar(&s.Engine.TokenInterval, "token-interval", 5*time.Millisecond, "time between tokens of a run; duration")
	fs.DurationVar(&s.Engine.EventDelay, "event-delay", 0, "how late an engine's cache events come; duration")
	fs.Float64Var(&s.Engine.EventLoss, "event-loss", 0, "share of an engine's cache events that are lost; 0 to 1")
	fs.DurationVar(&s.Engine.ReportLag, "report-lag", 0, "age of the load that an engine reports; duration")
	fs.Float64Var(&s.Store.LinkBytesPerSecond, "link-rate", 64<<20, "rate of a store's link; bytes a second")
	fs.Int64Var(&s.Store.CapacityBytes, "capacity", 1<<30, "size of a store; bytes")
	fs.DurationVar(&s.Weights.LoadTime, "load-time", 500*time.Millisecond, "time of one weight load alone; duration")
	fs.IntVar(&s.Weights.FullSpeed, "full-speed-loads", 2, "loads at once that slow each other not")
	fs.StringVar(&s.ServiceName, "service", "", "plain service that is announced")
	fs.StringVar(&s.Service.Ledger, "ledger", "", "file to which a service adds the key of each order")
	fs.DurationVar(&s.Service.Delay, "order-time", 10*time.Millisecond, "time of one order; duration")
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
	settings.Positive(c, "slots", s.Engine.Slots, "runs")
	settings.Positive(c, "cache-blocks", s.Engine.CacheBlocks, "blocks")
	settings.Positive(c, "block-bytes", s.Engine.BlockBytes, "bytes")
	settings.Positive(c, "prefill-rate", s.Engine.PrefillRate, "tokens a second")
	settings.Positive(c, "link-rate", s.Store.LinkBytesPerSecond, "bytes a second")
	settings.Positive(c, "capacity", s.Store.CapacityBytes, "bytes")
}

// Build returns the component of a role.
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
	es := s.Engine
	es.Server, es.FailureDomain = s.Instance, s.FailureDomain
	es.URL, es.Incarnation = "http://"+s.Listen, incarnation
	e := engine.New(es)
	return New(s.Instance, s.Role, s.Listen, e.Handler(), s.announcer(logger, e.Announcement))
}

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
	return &announcer.Announcer{Entries: settings.SplitList(s.Entries), Current: current, Logger: logger}
}
