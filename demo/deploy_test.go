package demo

import (
	"context"
	"encoding/json"
	"io"
	"regexp"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/galenaarch/galenaarch/deploy"
	"github.com/galenaarch/galenaarch/telemetry"
)

// registeredMetrics returns the names of the metrics of all components.
func registeredMetrics(t *testing.T) map[string]bool {
	t.Helper()
	tel, err := telemetry.New(context.Background(), "demo", "test", telemetry.Settings{LogLevel: "error"}, io.Discard)
	require.NoError(t, err)
	cluster, err := Start(tel)
	require.NoError(t, err)
	defer cluster.Stop()
	descs := make(chan *prometheus.Desc)
	go func() {
		tel.Context.Registry.Describe(descs)
		close(descs)
	}()
	namePattern := regexp.MustCompile(`fqName: "([^"]+)"`)
	names := make(map[string]bool)
	for d := range descs {
		names[namePattern.FindStringSubmatch(d.String())[1]] = true
	}
	return names
}

func TestDashboardAndAlertsReferenceRegisteredMetrics(t *testing.T) {
	var dashboard, alerts any
	require.NoError(t, json.Unmarshal(deploy.Dashboard, &dashboard))
	require.NoError(t, yaml.Unmarshal(deploy.Alerts, &alerts))
	names := registeredMetrics(t)
	used := regexp.MustCompile(`galena_[a-z0-9_]+`).FindAllString(string(deploy.Dashboard)+string(deploy.Alerts), -1)
	require.NotEmpty(t, used)
	for _, metric := range used {
		base := metric
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			base = strings.TrimSuffix(base, suffix)
		}
		require.True(t, names[metric] || names[base], metric)
	}
}
