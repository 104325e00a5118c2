// Package transport provides listeners and HTTP clients for connections between
// the processes of the system. They use mutual TLS with certificate files that
// are reloaded when they change.
package transport

import (
	"flag"
	"net/netip"
	"net/url"

	"github.com/galenaarch/galenaarch/kernel/settings"
)

// Settings holds the certificate files for mutual TLS. The zero value selects
// plain TCP, for components that run in one process.
type Settings struct {
	// CertFile and KeyFile are this instance's PEM files. CAFile holds the CA
	// certificates that other instances' certificates are verified against.
	CertFile string
	KeyFile  string
	CAFile   string
	// InsecureLoopback permits plain TCP between loopback addresses.
	InsecureLoopback bool
	// TrustedNetwork permits plain TCP between any addresses. The operator must
	// ensure that only instances of the system can reach these ports.
	TrustedNetwork bool
}

// ClientListenerSettings holds the server certificate that an entry presents to clients.
// Without it clients connect over plain TCP.
type ClientListenerSettings struct {
	CertFile string
	KeyFile  string
}

// TLSEnabled reports whether the listener for clients uses TLS.
func (s *ClientListenerSettings) TLSEnabled() bool { return s.CertFile != "" }

// RegisterFlags adds the flags for the certificate presented to clients to fs.
func (s *ClientListenerSettings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.CertFile, "caller-tls-cert", "", "PEM file of the certificate presented to clients; without it clients connect over plain TCP")
	fs.StringVar(&s.KeyFile, "caller-tls-key", "", "PEM file of the private key for -caller-tls-cert")
}

// Check reports files of the certificate presented to clients that cannot be
// loaded.
func (s *ClientListenerSettings) Check(c *settings.Checker) {
	if s.CertFile == "" && s.KeyFile == "" {
		return
	}
	if _, err := loadCredentials(s.listenerSettings()); err != nil {
		c.Add("caller-tls-cert", "cannot load the certificate files: %v", err)
	}
}

// listenerSettings returns settings without a CA file, so that the listener
// requires no client certificate.
func (s *ClientListenerSettings) listenerSettings() Settings {
	return Settings{CertFile: s.CertFile, KeyFile: s.KeyFile}
}

// TLSEnabled reports whether connections between processes use TLS.
func (s *Settings) TLSEnabled() bool { return s.CertFile != "" }

// RegisterFlags adds the flags for connections between processes to fs.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.CertFile, "tls-cert", "", "PEM file of this instance's certificate, with its IP addresses as subject alternative names")
	fs.StringVar(&s.KeyFile, "tls-key", "", "PEM file of this instance's private key")
	fs.StringVar(&s.CAFile, "tls-ca", "", "PEM file of the CA certificates that sign the certificates of the system's processes")
	fs.BoolVar(&s.InsecureLoopback, "insecure-loopback", false, "use plain TCP between the system's processes, on loopback addresses only")
	fs.BoolVar(&s.TrustedNetwork, "trusted-network", false, "use plain TCP between the system's processes on any address; only safe where nothing else can reach these ports")
}

// Check reports invalid combinations of settings, certificate files that cannot
// be loaded, and addresses and URLs that the settings do not allow. addresses
// are the listen addresses and urls the peers that the settings apply to.
func (s *Settings) Check(c *settings.Checker, addresses, urls []string) {
	if s.TrustedNetwork {
		if s.TLSEnabled() || s.InsecureLoopback {
			c.Add("trusted-network", "cannot be combined with -tls-cert or -insecure-loopback")
		}
		return
	}
	if s.InsecureLoopback {
		s.checkLoopback(c, addresses, urls)
		return
	}
	required := []struct{ flag, value string }{
		{"tls-cert", s.CertFile}, {"tls-key", s.KeyFile}, {"tls-ca", s.CAFile},
	}
	missing := false
	for _, f := range required {
		if f.value == "" {
			c.Add(f.flag, "is required and must name a PEM file (or set -insecure-loopback if all processes run on one instance)")
			missing = true
		}
	}
	if missing {
		return
	}
	if _, err := loadCredentials(*s); err != nil {
		c.Add("tls-cert", "cannot load the certificate files: %v", err)
	}
	for _, u := range urls {
		if parsed, err := url.Parse(u); err == nil && parsed.Scheme != "https" {
			c.Add("tls-cert", "%q must be an https:// URL", u)
		}
	}
}

func (s *Settings) checkLoopback(c *settings.Checker, addresses, urls []string) {
	const name = "insecure-loopback"
	if s.TLSEnabled() {
		c.Add(name, "cannot be combined with -tls-cert")
	}
	for _, u := range urls {
		parsed, err := url.Parse(u)
		if err == nil {
			addresses = append(addresses, parsed.Host)
		}
	}
	for _, a := range addresses {
		addrPort, err := netip.ParseAddrPort(a)
		if err == nil && !addrPort.Addr().IsLoopback() {
			c.Add(name, "%s is not a loopback address", a)
		}
	}
}
