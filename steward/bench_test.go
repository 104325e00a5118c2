package steward_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/api/backend"
	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/config"
	"github.com/galenaarch/galenaarch/control"
	"github.com/galenaarch/galenaarch/examples"
	"github.com/galenaarch/galenaarch/steward"
)

// countingClient counts requests to the control plane and to backend servers.
type countingClient struct {
	controlv1.Control
	*fleetClient
	controlRequests, stateRequests, listBytes int
}

func (c *countingClient) GetStatus(ctx context.Context, r *controlv1.GetStatusRequest) (*controlv1.GetStatusResponse, error) {
	c.controlRequests++
	return c.Control.GetStatus(ctx, r)
}

func (c *countingClient) UpdateRouting(ctx context.Context, r *controlv1.UpdateRoutingRequest) (*controlv1.UpdateRoutingResponse, error) {
	c.controlRequests++
	return c.Control.UpdateRouting(ctx, r)
}

func (c *countingClient) ListServers(ctx context.Context) ([]backend.Announcement, error) {
	list, err := c.fleetClient.ListServers(ctx)
	raw, encodeErr := json.Marshal(backend.ServerList{Servers: list})
	if encodeErr != nil {
		return nil, encodeErr
	}
	c.listBytes += len(raw)
	var decoded backend.ServerList
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return nil, err
	}
	return decoded.Servers, err
}

func (c *countingClient) ReadState(ctx context.Context, url string) (*backend.EngineState, error) {
	c.fakeFleet.mu.Lock()
	c.stateRequests++
	c.fakeFleet.mu.Unlock()
	return c.fleetClient.ReadState(ctx, url)
}

// BenchmarkReconcile measures one reconciliation of a deployment whose servers
// match the declared state, including encoding and decoding the list of
// servers.
func BenchmarkReconcile(b *testing.B) {
	for _, n := range []int{12, 120, 1200, 6900} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) { benchReconcile(b, n) })
	}
}

func benchReconcile(b *testing.B, n int) {
	fleet := newFleet(n, halfCheckFencing)
	doc, err := config.Decode(examples.HaddonPryce)
	require.NoError(b, err)
	doc.Deployments[0].Servers = n
	items, err := config.Items(doc)
	require.NoError(b, err)
	server := control.NewServer(newMemoryLog())
	ctx := context.Background()
	_, err = server.ApplyConfig(ctx, &controlv1.ApplyConfigRequest{Environment: doc.Environment, ChangeId: "1", Upserts: items})
	require.NoError(b, err)
	c := &countingClient{Control: server, fleetClient: &fleetClient{fakeFleet: fleet, partition: &partition{}}}
	view := config.NewView(1, doc)
	d := steward.NewDriver(steward.Options{
		Instance: "steward-1", Environment: doc.Environment, Control: c, Backends: c,
		Config: func() *config.View { return view }, Logger: discardLogger, Metrics: steward.NewMetrics(prometheus.NewRegistry()),
	})
	d.Reconcile(ctx)
	c.controlRequests, c.stateRequests, c.listBytes = 0, 0, 0
	for b.Loop() {
		d.Reconcile(ctx)
	}
	b.ReportMetric(float64(c.controlRequests)/float64(b.N), "control-requests/op")
	b.ReportMetric(float64(c.stateRequests)/float64(b.N), "server-requests/op")
	b.ReportMetric(float64(c.listBytes)/float64(b.N), "list-bytes/op")
}

// BenchmarkPlan measures planning alone while every server needs a new version.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{12, 120, 1200, 6900} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			doc, err := config.Decode(examples.HaddonPryce)
			require.NoError(b, err)
			d := &doc.Deployments[0]
			d.Servers, d.WeightVersion = n, "v2"
			input := steward.PlanInput{
				Now: time.UnixMilli(1), Deployment: d, WeightStore: doc.WeightStore, Stage: doc.Stage,
				DeploymentRoute: &controlv1.DeploymentRoute{ServingVersions: []string{"v1"}},
			}
			for _, a := range newFleet(n, halfCheckFencing).list() {
				input.Servers = append(input.Servers, steward.Server{Announcement: a})
			}
			for b.Loop() {
				steward.MakePlan(input)
			}
		})
	}
}
