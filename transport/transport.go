package transport

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/httpclient"
	"github.com/galenaarch/galenaarch/telemetry"
)

// Timeouts and limits for connections between processes.
const (
	// dialTimeout is longer than a round trip between regions and shorter than
	// the one second after which TCP retransmits a lost SYN: the next attempt
	// reaches a peer that has just restarted sooner than that retransmission.
	dialTimeout         = 300 * time.Millisecond
	reloadInterval      = 5 * time.Second
	maxIdleConnsPerPeer = 64
)

// credentials holds the contents of the certificate files from one load.
type credentials struct {
	certificate tls.Certificate
	caPool      *x509.CertPool
	modTimes    [3]time.Time
}

func loadCredentials(s Settings) (*credentials, error) {
	c := &credentials{}
	for i, path := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return nil, eris.Wrapf(err, "read %s", path)
		}
		c.modTimes[i] = info.ModTime()
	}
	certificate, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, eris.Wrapf(err, "load key pair %s", s.CertFile)
	}
	c.certificate = certificate
	if s.CAFile == "" {
		return c, nil
	}
	caPEM, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", s.CAFile)
	}
	c.caPool = x509.NewCertPool()
	if !c.caPool.AppendCertsFromPEM(caPEM) {
		return nil, eris.Errorf("%s contains no PEM certificate", s.CAFile)
	}
	return c, nil
}

// Transport opens listeners and HTTP clients that share one set of credentials.
type Transport struct {
	settings Settings
	logger   *slog.Logger
	current  atomic.Pointer[credentials]
}

// New loads the certificate files and returns an error if that fails. With zero
// settings connections use plain TCP.
func New(s Settings, logger *slog.Logger) (*Transport, error) {
	t := &Transport{settings: s, logger: logger}
	if !s.TLSEnabled() {
		return t, nil
	}
	c, err := loadCredentials(s)
	if err != nil {
		return nil, err
	}
	t.current.Store(c)
	return t, nil
}

// NewClientListenerTransport loads the certificate for the listener that serves clients,
// which authenticate with bearer keys instead of client certificates.
func NewClientListenerTransport(s ClientListenerSettings, logger *slog.Logger) (*Transport, error) {
	return New(s.listenerSettings(), logger)
}

// Run reloads the certificate files when they change, until ctx is done. If
// loading fails, the previous credentials stay in use.
func (t *Transport) Run(ctx context.Context) {
	if !t.settings.TLSEnabled() {
		return
	}
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			t.reload()
		}
	}
}

// reload replaces the credentials if a file has a new modification time.
func (t *Transport) reload() {
	next, err := loadCredentials(t.settings)
	if err != nil {
		t.logger.Error("failed to reload certificates", slog.Any("error", err))
		return
	}
	if next.modTimes == t.current.Load().modTimes {
		return
	}
	t.current.Store(next)
	t.logger.Info("reloaded certificates", slog.String("file", t.settings.CertFile))
}

// Listen opens a listener. With a CA file it accepts only peers whose
// certificate is signed by one of the CAs.
func (t *Transport) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	return t.Secure(listener), nil
}

// Secure returns a listener that uses TLS, if it is enabled, on the connections of another.
func (t *Transport) Secure(listener net.Listener) net.Listener {
	if !t.settings.TLSEnabled() {
		return listener
	}
	return tls.NewListener(listener, t.serverConfig())
}

func (t *Transport) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := t.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{c.certificate},
				NextProtos:   []string{"http/1.1"},
			}
			if c.caPool != nil {
				config.ClientCAs = c.caPool
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// HTTPTransport returns a new HTTP transport, with its own connections, for requests
// to other processes of the system.
func (t *Transport) HTTPTransport() *http.Transport {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerPeer,
		MaxResponseHeaderBytes: httpclient.MaxHeaderBytes,
	}
	if t.settings.TLSEnabled() {
		transport.DialTLSContext = t.dialTLS
	}
	return transport
}

// Client returns a new HTTP client, with its own connections, for requests to other
// processes of the system. Its requests are traced.
func (t *Transport) Client() *http.Client {
	return &http.Client{Transport: telemetry.TraceRoundTripper(httpclient.Bound(t.HTTPTransport(), httpclient.PeerLimits))}
}

// errHostNotIP is returned for a peer URL with a host name: certificates are
// verified against IP addresses only.
var errHostNotIP = errors.New("peer host is not an IP address")

// dialTLS verifies the peer against the CA certificates that are current when it
// dials.
func (t *Transport) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "split peer address %s", address)
	}
	if net.ParseIP(host) == nil {
		return nil, eris.Wrapf(errHostNotIP, "dial %s", address)
	}
	c := t.current.Load()
	dialer := &tls.Dialer{
		NetDialer: &net.Dialer{Timeout: dialTimeout},
		Config: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{c.certificate},
			RootCAs:      c.caPool,
			ServerName:   host,
		},
	}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, eris.Wrapf(err, "dial %s", address)
}
