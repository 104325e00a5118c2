package load

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/control/client"
)

// Names used in the configuration documents of experiments.
const (
	Environment = "experiment"
	Deployment  = "experiment"
	Model       = "experiment-model"
)

// AccountKey returns the bearer key of the client account with the given index.
func AccountKey(account int) string { return fmt.Sprintf("experiment-key-%d", account) }

// ExperimentSetup describes the configuration of an experiment.
type ExperimentSetup struct {
	TraceName     string
	RoutingPolicy string
	Engines       int
	Accounts      int
	// WeightVersion is the weight version that new requests run on.
	WeightVersion string
	// StoreURLs are the base URLs of the stores.
	StoreURLs          []string
	LinkBytesPerSecond int64
	StoreCapacityBytes int64
	WeightStoreURL     string
}

// historyRecomputedTokenSeconds is the cost of a recomputed token in the history trace;
// seconds.
const historyRecomputedTokenSeconds = 0.0005

// linkByteSeconds is the cost of a byte transferred over a link, in seconds: about
// 20 ms for a block of 64 KiB.
const linkByteSeconds = 3e-7

// Document returns the configuration document of the experiment.
func (s *ExperimentSetup) Document() *config.Document {
	d := &config.Document{Schema: config.SchemaVersion, Environment: Environment, Stage: config.StageTrial}
	deployment := config.Deployment{
		Name: Deployment, Model: Model, WeightVersion: s.WeightVersion, Servers: s.Engines, MinServingFraction: 0.5,
		BlockTokens: BlockTokens, Policy: s.RoutingPolicy,
		Objective: config.Objective{TimeToFirstToken: config.Duration(2 * time.Second), LinkByteSeconds: linkByteSeconds},
	}
	if s.TraceName == "history" {
		deployment.Objective.RecomputedTokenSeconds = historyRecomputedTokenSeconds
	}
	for i, url := range s.StoreURLs {
		name := fmt.Sprintf("store-%d", i+1)
		deployment.Stores = append(deployment.Stores, name)
		d.Stores = append(d.Stores, config.Store{
			Name: name, URL: url, FailureDomain: fmt.Sprintf("domain-%d", i+1),
			LinkBytesPerSecond: s.LinkBytesPerSecond, CapacityBytes: s.StoreCapacityBytes,
		})
	}
	d.Deployments = []config.Deployment{deployment}
	for i := range s.Accounts {
		hash := sha256.Sum256([]byte(AccountKey(i)))
		d.ClientAccounts = append(d.ClientAccounts, config.ClientAccount{
			Name: fmt.Sprintf("account-%d", i), Keys: []config.Key{{SHA256: hex.EncodeToString(hash[:])}},
			Deployments: []string{Deployment}, Weight: 1, Priority: config.PriorityInteractive,
		})
	}
	d.ServerKinds = []config.ServerKind{
		{Name: "prometheus-engine", Adapter: "prometheus_text", ChecksFencing: true, ReportInterval: config.Duration(reportInterval)},
		{Name: "json-engine", Adapter: "json_status", ReportInterval: config.Duration(reportInterval)},
	}
	if s.WeightStoreURL != "" {
		d.WeightStore = config.WeightStore{URL: s.WeightStoreURL, ConcurrentLoads: 2}
	}
	return d
}

const reportInterval = 250 * time.Millisecond

// Apply submits the document to the control replicas as the next revision. It returns
// an error if the replicas cannot be reached or reject the document.
func (s *ExperimentSetup) Apply(ctx context.Context, controlURLs []string) error {
	items, err := config.Items(s.Document())
	if err != nil {
		return eris.Wrap(err, "convert document to config items")
	}
	c := client.New(controlURLs, &http.Client{})
	status, err := c.GetStatus(ctx, &controlv1.GetStatusRequest{Environment: Environment})
	if err != nil {
		return eris.Wrap(err, "get accepted revision")
	}
	response, err := c.ApplyConfig(ctx, &controlv1.ApplyConfigRequest{
		Environment: Environment, ExpectedRevision: status.AcceptedRevision, Upserts: items,
		ChangeId: fmt.Sprintf("experiment-%d", status.AcceptedRevision+1), Author: "galena-load",
	})
	if err != nil {
		return eris.Wrap(err, "apply document")
	}
	if !response.Accepted {
		return eris.Errorf("document rejected: %s", response.Reason)
	}
	return nil
}
