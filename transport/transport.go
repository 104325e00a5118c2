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

	"github.com/galenaarch/galenaarch/telemetry"
)

// Times and bounds of connections between processes.
const (
	// dialTimeout is above a round trip between regions and below the second
	// after which a lost first packet is sent again: a peer that has just come
	// back is reached by the next try, not after that second.
	dialTimeout    = 300 * time.Millisecond
	reloadInterval = 5 * time.Second
	idlePerPeer    = 64
)

// material is one reading of the files.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	modified    [3]time.Time
}

func load(s Settings) (*material, error) {
	m := &material{}
	for i, path := range []string{s.CertFile, s.KeyFile, s.CAFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return nil, eris.Wrapf(err, "read %s", path)
		}
		m.modified[i] = info.ModTime()
	}
	certificate, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, eris.Wrapf(err, "read key pair %s", s.CertFile)
	}
	m.certificate = certificate
	if s.CAFile == "" {
		return m, nil
	}
	pem, err := os.ReadFile(s.CAFile)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", s.CAFile)
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s holds no certificate", s.CAFile)
	}
	return m, nil
}

// Transport opens listeners and clients under one set of files.
type Transport struct {
	settings Settings
	logger   *slog.Logger
	current  atomic.Pointer[material]
}

// New reads the files. With the zero Settings connections are plain TCP.
func New(s Settings, logger *slog.Logger) (*Transport, error) {
	t := &Transport{settings: s, logger: logger}
	if !s.Enabled() {
		return t, nil
	}
	m, err := load(s)
	if err != nil {
		return nil, err
	}
	t.current.Store(m)
	return t, nil
}

// NewCallers reads the files of a listener for callers, who show keys in place
// of certificates.
func NewCallers(s CallerSettings, logger *slog.Logger) (*Transport, error) {
	return New(s.files(), logger)
}

// Run reads the files again when they change, until the context ends. Files
// that cannot be used leave the last good ones in force.
func (t *Transport) Run(ctx context.Context) {
	if !t.settings.Enabled() {
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

func (t *Transport) reload() {
	next, err := load(t.settings)
	if err != nil {
		t.logger.Error("certificates not read again", slog.Any("error", err))
		return
	}
	if next.modified == t.current.Load().modified {
		return
	}
	t.current.Store(next)
	t.logger.Info("certificates read again", slog.String("file", t.settings.CertFile))
}

// Listen opens a listener that takes only peers with a certificate of the
// authorities.
func (t *Transport) Listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	if !t.settings.Enabled() {
		return listener, nil
	}
	return tls.NewListener(listener, t.serverConfig()), nil
}

func (t *Transport) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := t.current.Load()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{m.certificate},
				NextProtos:   []string{"http/1.1"},
			}
			if m.authorities != nil {
				config.ClientCAs = m.authorities
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// HTTPTransport returns a round tripper to other processes of the system.
func (t *Transport) HTTPTransport() *http.Transport {
	rt := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerPeer,
	}
	if t.settings.Enabled() {
		rt.DialTLSContext = t.dialTLS
	}
	return rt
}

// Client returns a client to other processes of the system.
func (t *Transport) Client() *http.Client {
	return &http.Client{Transport: telemetry.RoundTripper(t.HTTPTransport())}
}

// errNoIP reports a peer named by anything but an IP number.
var errNoIP = errors.New("peer is not named by an IP number")

// dialTLS verifies the peer against the authorities in force at this moment.
func (t *Transport) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, eris.Wrapf(err, "address %s", address)
	}
	if net.ParseIP(host) == nil {
		return nil, eris.Wrapf(errNoIP, "dial %s", address)
	}
	m := t.current.Load()
	dialer := &tls.Dialer{
		NetDialer: &net.Dialer{Timeout: dialTimeout},
		Config: &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{m.certificate},
			RootCAs:      m.authorities,
			ServerName:   host,
		},
	}
	conn, err := dialer.DialContext(ctx, network, address)
	return conn, eris.Wrapf(err, "dial %s", address)
}
