// Package demo runs every role of the system in one process on loopback, with
// small stand-ins behind it, and checks the whole path.
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

// Sizes of the demonstration.
const (
	controlCount  = 3
	engineCount   = 3
	cacheBlocks   = 12
	blockBytes    = 32 << 10
	prefillRate   = 8000
	startTimeout  = 10 * time.Second
	readinessPoll = 20 * time.Millisecond
)

// Cluster is every role of the system in one process.
type Cluster struct {
	app *kernel.App
	dir string
	// EntryURLs are the callers' addresses.
	EntryURLs []string
	// Control reaches the control replicas.
	Control controlv1.Control
	// ServiceURL is the plain service's own address.
	ServiceURL  string
	environment string
	entries     []*entry.Entry
}

// addresses hands out free loopback addresses.
type addresses struct{ err error }

func (a *addresses) next() string {
	address, err := loopback.Address()
	if err != nil {
		a.err = err
	}
	return address
}

// Start starts all roles and applies the example document.
func Start(tel *telemetry.Telemetry) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "galena-demo-")
	if err != nil {
		return nil, eris.Wrap(err, "data folder")
	}
	c := &Cluster{dir: dir}
	doc, err := config.Decode(examples.HaddonPryce)
	if err != nil {
		return nil, eris.Wrap(err, "example document")
	}
	c.environment = doc.Environment
	var free addresses
	components := c.build(doc, &free)
	if free.err != nil {
		return nil, eris.Wrap(free.err, "free address")
	}
	c.app = kernel.NewApp(tel.Context, components...)
	if err := c.app.Start(); err != nil {
		return nil, err
	}
	return c, c.configure(doc)
}

// build lists the components in their starting order.
func (c *Cluster) build(doc *config.Document, free *addresses) []kernel.Component {
	backendAddress, peerAddress := free.next(), free.next()
	backendURL := "http://" + backendAddress
	list, controlURLs := c.controls(free)
	controlURL := strings.Join(controlURLs, ",")
	c.Control = client.New(controlURLs, &http.Client{})
	entryAddress := free.next()
	c.EntryURLs = []string{"http://" + entryAddress}
	e := entry.New(entry.Settings{
		Instance: "entry-1", FailureDomain: "midlands-1", Environment: doc.Environment,
		Listen: entryAddress, BackendListen: backendAddress, PeerListen: peerAddress, Control: controlURL, ServerTTL: 2 * time.Second,
	})
	c.entries = []*entry.Entry{e}
	list = append(list, e, steward.New(steward.Settings{
		Instance: "steward-1", FailureDomain: "midlands-2", Environment: doc.Environment, Control: controlURL, Entries: "http://" + peerAddress,
	}))
	return append(list, c.standins(doc, backendURL, free)...)
}

// controls lists the control replicas and their base URLs.
func (c *Cluster) controls(free *addresses) (list []kernel.Component, urls []string) {
	var addresses, replicas []string
	for i := range controlCount {
		address := free.next()
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
		list = append(list, control.NewReplica(control.Settings{
			Instance: name, FailureDomain: fmt.Sprintf("midlands-%d", i+1), Listen: address, DataDir: dir,
			Replicas: strings.Join(replicas, ","),
		}))
	}
	return list, urls
}

// standins lists the stand-ins and puts their addresses in the document.
func (c *Cluster) standins(doc *config.Document, backendURL string, free *addresses) []kernel.Component {
	var list []kernel.Component
	add := func(s process.Settings) string {
		s.Listen, s.Entries, s.FailureDomain = free.next(), backendURL, "midlands-1"
		list = append(list, &standin{settings: s})
		return "http://" + s.Listen
	}
	for i := range engineCount {
		s := process.Settings{Role: process.RoleEngine, Instance: fmt.Sprintf("engine-%d", i+1)}
		s.Engine.Kind, s.Engine.Deployment, s.Engine.WeightVersion = "prometheus-engine", "quotes", "v1"
		s.Engine.ChecksFencing = true
		s.Engine.Slots, s.Engine.CacheBlocks, s.Engine.BlockBytes = 8, cacheBlocks, blockBytes
		s.Engine.PrefillRate, s.Engine.TokenInterval = prefillRate, time.Millisecond
		if i == engineCount-1 {
			s.Engine.Kind, s.Engine.ChecksFencing = "json-engine", false
		}
		add(s)
	}
	for i := range doc.Stores {
		s := process.Settings{Role: process.RoleStore, Instance: doc.Stores[i].Name}
		s.Store.LinkBytesPerSecond, s.Store.CapacityBytes = float64(doc.Stores[i].LinkBytesPerSecond), doc.Stores[i].CapacityBytes
		doc.Stores[i].URL = add(s)
	}
	weights := process.Settings{Role: process.RoleWeights, Instance: "weights"}
	weights.Weights.LoadTime, weights.Weights.FullSpeed = 100*time.Millisecond, 2
	doc.WeightStore.URL = add(weights)
	service := process.Settings{Role: process.RoleService, Instance: "order-desk-1", ServiceName: "order-desk"}
	c.ServiceURL = add(service)
	return list
}

// standin builds its component when it is provisioned, once a logger is known.
type standin struct {
	*process.Component
	settings process.Settings
}

// Name implements kernel.Component.
func (s *standin) Name() string { return s.settings.Instance }

// Provision implements kernel.Provisioner.
func (s *standin) Provision(ctx *kernel.Context) error {
	s.Component = s.settings.Build(ctx.Logger)
	return nil
}

// configure applies the document and waits until all is ready.
func (c *Cluster) configure(doc *config.Document) error {
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
		return eris.Errorf("document refused: %s", response.Reason)
	}
	return c.waitReady(ctx)
}

func (c *Cluster) waitReady(ctx context.Context) error {
	for {
		if c.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.New("not ready in time")
		case <-time.After(readinessPoll):
		}
	}
}

func (c *Cluster) ready() bool {
	for _, e := range c.entries {
		if e.Ready() != nil || e.ServerCount() < engineCount+1 {
			return false
		}
	}
	return true
}

// Stop ends all roles and removes their data.
func (c *Cluster) Stop() {
	c.app.Stop(context.Background())
	_ = os.RemoveAll(c.dir) // a temporary folder
}
