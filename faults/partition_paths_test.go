package faults

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/galenaarch/galenaarch/api/fleetv1"
	"github.com/galenaarch/galenaarch/platform/platformtest"
)

// gatewayPaths are the paths of one gateway to the servers. The gateway reaches the control
// replicas over proxies, which name the beginning of a path in place of each server's address.
type gatewayPaths struct {
	t testing.TB

	mu sync.Mutex
	// proxies holds the proxy's URL for the URL of each control replica.
	proxies map[string]string
	paths   map[string]*platformtest.Path
	// toPeers is set if the paths lead to the other gateways in place of the servers. unreachable
	// decides which services are cut off for good, and leaves the other paths as they are; nil for
	// none. Both are set before the gateway starts.
	toPeers     bool
	unreachable func(service string) bool
	// how is the cut in force, nil for none.
	how func(*platformtest.Path) error
}

// newGatewayPaths starts proxies for control replicas, given by their addresses.
func newGatewayPaths(t testing.TB, controls []string) *gatewayPaths {
	g := &gatewayPaths{t: t, proxies: make(map[string]string), paths: make(map[string]*platformtest.Path)}
	for _, address := range controls {
		target := &url.URL{Scheme: "http", Host: address}
		server := httptest.NewServer(&httputil.ReverseProxy{
			Rewrite: func(r *httputil.ProxyRequest) {
				r.SetURL(target)
				r.Out.Header.Del("Accept-Encoding") // the transport decodes what it asks for itself
			},
			ModifyResponse: g.rewrite,
			ErrorHandler:   func(rw http.ResponseWriter, _ *http.Request, _ error) { rw.WriteHeader(http.StatusBadGateway) },
		})
		t.Cleanup(server.CloseClientConnections)
		g.mu.Lock()
		g.proxies[target.String()] = server.URL
		g.mu.Unlock()
	}
	return g
}

// seeds returns the addresses of the proxies.
func (g *gatewayPaths) seeds() string {
	var list []string
	for _, proxy := range g.proxies {
		list = append(list, strings.TrimPrefix(proxy, "http://"))
	}
	return strings.Join(list, ",")
}

// rewrite replaces the addresses in the response to a poll.
func (g *gatewayPaths) rewrite(r *http.Response) error {
	if r.StatusCode != http.StatusOK || r.Request.URL.Path != fleetv1.FleetPathPrefix+"Sync" {
		return nil
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	response := &fleetv1.SyncResponse{}
	if err := proto.Unmarshal(content, response); err != nil {
		return err
	}
	g.mu.Lock()
	for i, control := range response.ControlUrls {
		if proxy := g.proxies[control]; proxy != "" {
			response.ControlUrls[i] = proxy
		}
	}
	g.mu.Unlock()
	for _, a := range response.Announcements {
		switch {
		case a.Address == "" || g.toPeers:
		case g.unreachable == nil:
			a.Address = g.pathTo(a.Address)
		case g.unreachable(a.Service):
			a.Address = g.refusedPathTo(a.Address)
		}
	}
	for _, e := range response.Entries {
		if address, ok := strings.CutPrefix(e.PeerUrl, "http://"); ok && g.toPeers {
			e.PeerUrl = "http://" + g.pathTo(address)
		}
	}
	if content, err = proto.Marshal(response); err != nil {
		return err
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(content)), int64(len(content))
	r.Header.Set("Content-Length", strconv.Itoa(len(content)))
	return nil
}

// pathTo returns the address of the path to a server.
func (g *gatewayPaths) pathTo(server string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.paths[server]
	if p == nil {
		p = platformtest.NewPath(g.t, server)
		g.paths[server] = p
		if g.how != nil {
			if err := g.how(p); err != nil {
				g.t.Errorf("cut a path: %v", err)
			}
		}
	}
	return p.Address
}

// refusedPathTo returns the address of a path that refuses connections.
func (g *gatewayPaths) refusedPathTo(server string) string {
	address := g.pathTo(server)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.paths[server].Refuse(false)
	return address
}

// set cuts all paths, or opens them if how is nil.
func (g *gatewayPaths) set(how func(*platformtest.Path) error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.how = how
	if how == nil {
		how = (*platformtest.Path).Open
	}
	for _, p := range g.paths {
		require.NoError(g.t, how(p))
	}
}
