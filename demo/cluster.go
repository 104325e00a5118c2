// Package demo runs every component of the system in one process on loopback
// addresses, with simulated backend servers, and checks the request path end to
// end.
package demo

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/control"
	"github.com/galenaarch/galenaarch/control/client"
	"github.com/galenaarch/galenaarch/entry"
	"github.com/galenaarch/galenaarch/examples"
	"github.com/galenaarch/galenaarch/internal/loopback"
	"github.com/galenaarch/galenaarch/kernel"
	"github.com/galenaarch/galenaarch/standin/process"
	"github.com/galenaarch/galenaarch/steward"
	"github.com/galenaarch/galenaarch/telemetry"

	"net/http"
)

// Parameters of the demonstration.
const (
	controlCount          = 3
	engineCount           = 3
	cacheBlocks           = 12
	blockBytes            = 32 << 10
	prefillRate           = 8000
	startTimeout          = 10 * time.Second
	readinessPollInterval = 20 * time.Millisecond
)

// Cluster runs every component of the system in one process.
type Cluster struct {
	app *kernel.App
	dir string
	// EntryURLs are the base URLs that clients send requests to.
	EntryURLs []string
	// Control is the client of the control replicas.
	Control controlv1.Control
	// PlainServiceURL is the base URL of the plain service itself, bypassing the entries.
	PlainServiceURL string
	environment     string
	entries         []*entry.Entry
}

// addressAllocator allocates loopback addresses and records the last error.
type addressAllocator struct{ err error }

// nextAddress returns a free host:port. An error is recorded in a.err.
func (a *addressAllocator) nextAddress() string {
	address, err := loopback.FreeAddress()
	if err != nil {
		a.err = err
	}
	return address
}

// Start starts all components, applies the example document and waits until the entries
// are ready.
func Start(tel *telemetry.Telemetry) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "galena-demo-")
	if err != nil {
		return nil, eris.Wrap(err, "create data directory")
	}
	c := &Cluster{dir: dir}
	doc, err := config.Decode(examples.HaddonPryce)
	if err != nil {
		return nil, eris.Wrap(err, "decode example document")
	}
	c.environment = doc.Environment
	var free addressAllocator
	components := c.build(doc, &free)
	if free.err != nil {
		return nil, eris.Wrap(free.err, "allocate loopback address")
	}
	c.app = kernel.NewApp(tel.Context, components...)
	if err := c.app.Start(); err != nil {
		return nil, err
	}
	return c, c.applyConfig(doc)
}

// build returns the components in start order.
func (c *Cluster) build(doc *config.Document, free *addressAllocator) []kernel.Component {
	backendAddress, peerAddress := free.nextAddress(), free.nextAddress()
	backendURL := "http://" + backendAddress
	list, controlURLs := c.buildControls(free)
	controlURL := strings.Join(controlURLs, ",")
	c.Control = client.New(controlURLs, &http.Client{})
	entryAddress := free.nextAddress()
	c.EntryURLs = []string{"http://" + entryAddress}
	e := entry.New(entry.Settings{
		Instance: "entry-1", FailureDomain: "midlands-1", Environment: doc.Environment,
		Listen: entryAddress, BackendListen: backendAddress, PeerListen: peerAddress, Control: controlURL, ServerTTL: 2 * time.Second,
	})
	c.entries = []*entry.Entry{e}
	list = append(list, e, steward.New(steward.Settings{
		Instance: "steward-1", FailureDomain: "midlands-2", Environment: doc.Environment, Control: controlURL, Entries: "http://" + peerAddress,
	}))
	return append(list, c.buildSimulators(doc, backendURL, free)...)
}

// buildControls returns the control replicas and their base URLs.
func (c *Cluster) buildControls(free *addressAllocator) (components []kernel.Component, urls []string) {
	var addresses, replicas []string
	for i := range controlCount {
		address := free.nextAddress()
		addresses = append(addresses, address)
		urls = append(urls, "http://"+address)
		replicas = append(replicas, fmt.Sprintf("control-%d=%s", i+1, urls[i]))
	}
	for i, address := range addresses {
		name := fmt.Sprintf("control-%d", i+1)
		dir := filepath.Join(c.dir, name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			free.err = err
		}
		components = append(components, control.NewReplica(control.Settings{
			Instance: name, FailureDomain: fmt.Sprintf("midlands-%d", i+1), Listen: address, DataDir: dir,
			Replicas: strings.Join(replicas, ","),
		}))
	}
	return components, urls
}

// buildSimulators returns the simulated servers and sets their addresses in the
// document.
func (c *Cluster) buildSimulators(doc *config.Document, backendURL string, free *addressAllocator) []kernel.Component {
	var components []kernel.Component
	add := func(s process.Settings) string {
		s.Listen, s.Entries, s.FailureDomain = free.nextAddress(), backendURL, "midlands-1"
		components = append(components, &simulatedServer{settings: s})
		return "http://" + s.Listen
	}
	for i := range engineCount {
		s := process.Settings{Role: process.RoleEngine, Instance: fmt.Sprintf("engine-%d", i+1)}
		s.Engine.Kind, s.Engine.Deployment, s.Engine.WeightVersion = "prometheus-engine", "quotes", "v1"
		s.Engine.EnforceFencing = true
		s.Engine.DecodeSlots, s.Engine.CacheBlocks, s.Engine.BlockBytes = 8, cacheBlocks, blockBytes
		s.Engine.PrefillTokensPerSecond, s.Engine.TokenInterval = prefillRate, time.Millisecond
		if i == engineCount-1 {
			s.Engine.Kind, s.Engine.EnforceFencing = "json-engine", false
		}
		add(s)
	}
	for i := range doc.Stores {
		s := process.Settings{Role: process.RoleStore, Instance: doc.Stores[i].Name}
		s.Store.LinkBytesPerSecond, s.Store.CapacityBytes = float64(doc.Stores[i].LinkBytesPerSecond), doc.Stores[i].CapacityBytes
		doc.Stores[i].URL = add(s)
	}
	weights := process.Settings{Role: process.RoleWeights, Instance: "weights"}
	weights.Weights.LoadTime, weights.Weights.FullSpeedLoads = 100*time.Millisecond, 2
	doc.WeightStore.URL = add(weights)
	service := process.Settings{Role: process.RoleService, Instance: "order-desk-1", ServiceName: "order-desk"}
	c.PlainServiceURL = add(service)
	return components
}

// simulatedServer builds its component when it is provisioned, because it needs the
// logger of the kernel context.
type simulatedServer struct {
	*process.Component
	settings process.Settings
}

// Name implements kernel.Component.
func (s *simulatedServer) Name() string { return s.settings.Instance }

// Provision implements kernel.Provisioner.
func (s *simulatedServer) Provision(ctx *kernel.Context) error {
	s.Component = s.settings.Build(ctx.Logger)
	return nil
}

// applyConfig applies the document and waits until the entries are ready.
func (c *Cluster) applyConfig(doc *config.Document) error {
	items, err := config.Items(doc)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	response, err := c.Control.ApplyConfig(ctx, &controlv1.ApplyConfigRequest{
		Environment: doc.Environment, ChangeId: "demo-1", Upserts: items, Author: "galena-demo",
	})
	if err != nil {
		return eris.Wrap(err, "apply document")
	}
	if !response.Accepted {
		return eris.Errorf("document rejected: %s", response.Reason)
	}
	return c.waitReady(ctx)
}

// waitReady polls until the entries are ready; the end of the context is an error.
func (c *Cluster) waitReady(ctx context.Context) error {
	for {
		if c.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.New("entries are not ready within the start timeout")
		case <-time.After(readinessPollInterval):
		}
	}
}

// ready reports whether all entries are ready and know all engines and the service.
func (c *Cluster) ready() bool {
	for _, e := range c.entries {
		if e.Ready() != nil || e.ServerCount() < engineCount+1 {
			return false
		}
	}
	return true
}

// Stop stops all components and removes their data.
func (c *Cluster) Stop() {
	c.app.Stop(context.Background())
	_ = os.RemoveAll(c.dir) // a leftover temporary directory is harmless
}
