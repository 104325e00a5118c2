package transport

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/kernel/settings"
)

// testCA signs certificates for tests.
type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	cert, err := x509.ParseCertificate(raw)
	require.NoError(t, err)
	return &testCA{cert: cert, key: key}
}

// issue writes a certificate for 127.0.0.1, its key and the CA certificate to
// dir and returns settings that name them.
func (a *testCA) issue(t *testing.T, dir string, serial int64) Settings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "instance"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(t, err)
	keyRaw, err := x509.MarshalECPrivateKey(key)
	require.NoError(t, err)
	s := Settings{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem"), CAFile: filepath.Join(dir, "ca.pem")}
	writePEM(t, s.CertFile, "CERTIFICATE", raw)
	writePEM(t, s.KeyFile, "EC PRIVATE KEY", keyRaw)
	writePEM(t, s.CAFile, "CERTIFICATE", a.cert.Raw)
	return s
}

func writePEM(t *testing.T, path, blockType string, raw []byte) {
	t.Helper()
	var buf bytes.Buffer
	require.NoError(t, pem.Encode(&buf, &pem.Block{Type: blockType, Bytes: raw}))
	require.NoError(t, os.WriteFile(path, buf.Bytes(), 0o600))
}

func newTransport(t *testing.T, s Settings) *Transport {
	t.Helper()
	tr, err := New(s, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return tr
}

func serve(t *testing.T, tr *Transport) string {
	t.Helper()
	listener, err := tr.Listen("127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler:  http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }),
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return "https://" + listener.Addr().String()
}

func TestMutualTLS(t *testing.T) {
	ca, otherCA := newTestCA(t), newTestCA(t)
	server := newTransport(t, ca.issue(t, t.TempDir(), 2))
	url := serve(t, server)
	fromOtherCA := otherCA.issue(t, t.TempDir(), 3)
	fromOtherCATrustsServer := fromOtherCA
	fromOtherCATrustsServer.CAFile = server.settings.CAFile
	tests := []struct {
		name   string
		client *http.Client
		wantOK bool
	}{
		{"certificate of the same CA", newTransport(t, ca.issue(t, t.TempDir(), 4)).Client(), true},
		{"certificate of another CA and server not trusted", newTransport(t, fromOtherCA).Client(), false},
		{"certificate of another CA but server trusted", newTransport(t, fromOtherCATrustsServer).Client(), false},
		{"no client certificate", newTransport(t, Settings{}).Client(), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, err := tt.client.Get(url)
			if !tt.wantOK {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
		})
	}
}

func TestClientsNeedNoCertificate(t *testing.T) {
	ca := newTestCA(t)
	issued := ca.issue(t, t.TempDir(), 2)
	tr, err := NewClientListenerTransport(ClientListenerSettings{CertFile: issued.CertFile, KeyFile: issued.KeyFile}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	url := serve(t, tr)
	pool := x509.NewCertPool()
	pool.AddCert(ca.cert)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}}
	resp, err := client.Get(url)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	_, err = http.Get(url)
	require.Error(t, err, "a client that does not trust the CA must reject the server")
}

func TestReloadUsesNewFilesAndKeepsCredentialsOnError(t *testing.T) {
	ca, dir := newTestCA(t), t.TempDir()
	tr := newTransport(t, ca.issue(t, dir, 2))
	serial := func() int64 { return tr.current.Load().certificate.Leaf.SerialNumber.Int64() }
	ca.issue(t, dir, 9)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(tr.settings.CertFile, later, later))
	tr.reload()
	require.EqualValues(t, 9, serial())
	require.NoError(t, os.WriteFile(tr.settings.KeyFile, []byte("torn"), 0o600))
	tr.reload()
	require.EqualValues(t, 9, serial())
}

func TestCheckAllowsPlainTCPOnlyOnLoopbackWithFlag(t *testing.T) {
	tests := []struct {
		name     string
		settings Settings
		address  string
		url      string
		wantErr  string
	}{
		{"no settings", Settings{}, "127.0.0.1:1", "", "-tls-cert"},
		{"loopback", Settings{InsecureLoopback: true}, "127.0.0.1:1", "http://[::1]:2", ""},
		{"listener not on loopback", Settings{InsecureLoopback: true}, "10.0.0.1:1", "", "-insecure-loopback"},
		{"peer not on loopback", Settings{InsecureLoopback: true}, "127.0.0.1:1", "http://10.0.0.1:2", "-insecure-loopback"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var c settings.Checker
			tt.settings.Check(&c, []string{tt.address}, settings.SplitList(tt.url))
			if tt.wantErr == "" {
				require.NoError(t, c.Err())
				return
			}
			require.ErrorContains(t, c.Err(), tt.wantErr)
		})
	}
}
