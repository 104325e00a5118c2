package entry

import (
	"flag"
	"time"

	"github.com/galenaarch/galenaarch/directory"
	"github.com/galenaarch/galenaarch/kernel/settings"
	"github.com/galenaarch/galenaarch/transport"
)

// defaultRetentionPolicy is the default policy for KV blocks in stores.
const defaultRetentionPolicy = "saving"

// Settings configures an entry instance.
type Settings struct {
	Instance      string
	FailureDomain string
	Environment   string
	// Listen is the client-facing address, BackendListen the address for
	// announcements of backend servers.
	Listen        string
	BackendListen string
	// PeerListen is the address for other entries. Peers lists the peer
	// listeners used as seeds for joining.
	PeerListen    string
	Peers         string
	MetricsListen string
	// Control lists the base URLs of the control replicas.
	Control string
	// TLS configures connections to other processes of the system.
	TLS transport.Settings
	// ClientTLS configures connections from clients.
	ClientTLS transport.ClientListenerSettings
	// ServerTTL is the time without announcements after which a backend server
	// gets no new work.
	ServerTTL time.Duration
	// DirectoryTTL is how long clients may cache a directory response, and
	// therefore how long a draining entry continues to accept requests.
	DirectoryTTL time.Duration
	// RetentionPolicy is the name of the retention policy for KV blocks in
	// stores.
	RetentionPolicy string
	// DrainTimeout bounds a graceful shutdown; 0 means no bound.
	DrainTimeout time.Duration
}

// RegisterFlags implements settings.Set.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Instance, "instance", "", "name of this instance")
	fs.StringVar(&s.FailureDomain, "failure-domain", "", "failure domain of this instance")
	fs.StringVar(&s.Environment, "environment", "production", "environment to serve")
	fs.StringVar(&s.Listen, "listen", "127.0.0.1:8080", "IP:port for clients")
	fs.StringVar(&s.BackendListen, "backend-listen", "127.0.0.1:8081", "IP:port for announcements of backend servers")
	fs.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:8082", "IP:port for the other entries")
	fs.StringVar(&s.Peers, "peers", "", "base URLs of the peer listeners of other entries used as seeds, comma-separated")
	fs.StringVar(&s.MetricsListen, "metrics-listen", "127.0.0.1:9090", "IP:port for metrics and health")
	fs.StringVar(&s.Control, "control", "http://127.0.0.1:8090", "base URLs of the control replicas, comma-separated")
	s.TLS.RegisterFlags(fs)
	s.ClientTLS.RegisterFlags(fs)
	fs.DurationVar(&s.ServerTTL, "server-ttl", 2*time.Second, "time without announcements after which a backend server gets no new work; duration")
	fs.DurationVar(&s.DirectoryTTL, "directory-ttl", directory.DefaultTTL, "time that clients may cache a directory response, must be equal on all entries; duration")
	fs.StringVar(&s.RetentionPolicy, "keeping", defaultRetentionPolicy, "retention policy for KV blocks in stores")
	fs.DurationVar(&s.DrainTimeout, "drain-limit", 0, "bound on a graceful shutdown; duration, 0 for none")
}

// Check implements settings.Set.
func (s *Settings) Check(c *settings.Checker) {
	c.Required("instance", s.Instance)
	c.Required("failure-domain", s.FailureDomain)
	c.Required("environment", s.Environment)
	c.Address("listen", s.Listen)
	c.Address("backend-listen", s.BackendListen)
	c.Address("peer-listen", s.PeerListen)
	c.URLs("peers", s.Peers)
	c.Address("metrics-listen", s.MetricsListen)
	c.Required("control", s.Control)
	c.URLs("control", s.Control)
	peers := append(settings.SplitList(s.Control), settings.SplitList(s.Peers)...)
	s.ClientTLS.Check(c)
	s.TLS.Check(c, []string{s.PeerListen}, peers)
	settings.Positive(c, "server-ttl", s.ServerTTL, "duration")
	settings.Positive(c, "directory-ttl", s.DirectoryTTL, "duration")
	if s.DrainTimeout < 0 {
		c.Add("drain-limit", "%v must not be below 0", s.DrainTimeout)
	}
}
