// Package transport secures the connections between the system's own
// processes: mutual TLS from files, read again when they change.
package transport

import (
	"flag"
	"net/netip"
	"net/url"

	"github.com/galenaarch/galenaarch/kernel/settings"
)

// Settings name the files of mutual TLS. The zero value is plain TCP, for
// parts that run in one process.
type Settings struct {
	// CertFile and KeyFile are this instance's PEM files; CAFile has the
	// authorities that other instances' certificates must come from.
	CertFile string
	KeyFile  string
	CAFile   string
	// InsecureLoopback permits plain TCP between loopback addresses.
	InsecureLoopback bool
	// TrustedNetwork permits plain TCP between any addresses: the operator
	// vouches that only the system's instances reach these ports.
	TrustedNetwork bool
}

// CallerSettings name the files by which an entry proves itself to callers.
// Without them callers connect over plain TCP.
type CallerSettings struct {
	CertFile string
	KeyFile  string
}

// Enabled reports whether callers' connections are secured.
func (s *CallerSettings) Enabled() bool { return s.CertFile != "" }

// RegisterFlags declares the flags.
func (s *CallerSettings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.CertFile, "caller-tls-cert", "", "PEM file of the certificate shown to callers; without it callers use plain TCP")
	fs.StringVar(&s.KeyFile, "caller-tls-key", "", "PEM file of the key of -caller-tls-cert")
}

// Check records faults.
func (s *CallerSettings) Check(c *settings.Checker) {
	if s.CertFile == "" && s.KeyFile == "" {
		return
	}
	if _, err := load(s.files()); err != nil {
		c.Add("caller-tls-cert", "files cannot be used: %v", err)
	}
}

// files are the settings of a listener that asks callers for no certificate.
func (s *CallerSettings) files() Settings {
	return Settings{CertFile: s.CertFile, KeyFile: s.KeyFile}
}

// Enabled reports whether connections are secured.
func (s *Settings) Enabled() bool { return s.CertFile != "" }

// RegisterFlags declares the flags.
func (s *Settings) RegisterFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.CertFile, "tls-cert", "", "PEM file of this instance's certificate, with its IP addresses")
	fs.StringVar(&s.KeyFile, "tls-key", "", "PEM file of this instance's key")
	fs.StringVar(&s.CAFile, "tls-ca", "", "PEM file of the authorities of the system's certificates")
	fs.BoolVar(&s.InsecureLoopback, "insecure-loopback", false, "plain TCP between the system's processes, on loopback addresses only")
	fs.BoolVar(&s.TrustedNetwork, "trusted-network", false, "plain TCP between the system's processes on any address; only where nobody else reaches these ports")
}

// Check records faults. Addresses are the listeners and URLs the peers that
// the settings apply to.
func (s *Settings) Check(c *settings.Checker, addresses, urls []string) {
	if s.TrustedNetwork {
		if s.Enabled() || s.InsecureLoopback {
			c.Add("trusted-network", "excludes -tls-cert and -insecure-loopback")
		}
		return
	}
	if s.InsecureLoopback {
		s.checkInsecure(c, addresses, urls)
		return
	}
	files := []struct{ flag, value string }{
		{"tls-cert", s.CertFile}, {"tls-key", s.KeyFile}, {"tls-ca", s.CAFile},
	}
	missing := false
	for _, f := range files {
		if f.value == "" {
			c.Add(f.flag, "is required, a PEM file (or -insecure-loopback on one instance)")
			missing = true
		}
	}
	if missing {
		return
	}
	if _, err := load(*s); err != nil {
		c.Add("tls-cert", "files cannot be used: %v", err)
	}
	for _, u := range urls {
		if parsed, err := url.Parse(u); err == nil && parsed.Scheme != "https" {
			c.Add("tls-cert", "%q must be an https:// URL", u)
		}
	}
}

func (s *Settings) checkInsecure(c *settings.Checker, addresses, urls []string) {
	const name = "insecure-loopback"
	if s.Enabled() {
		c.Add(name, "excludes -tls-cert")
	}
	for _, u := range urls {
		parsed, err := url.Parse(u)
		if err == nil {
			addresses = append(addresses, parsed.Host)
		}
	}
	for _, a := range addresses {
		ap, err := netip.ParseAddrPort(a)
		if err == nil && !ap.Addr().IsLoopback() {
			c.Add(name, "%s is no loopback address", a)
		}
	}
}
