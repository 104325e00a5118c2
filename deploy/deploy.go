// Package deploy embeds the Grafana dashboard and the Prometheus alert rules.
package deploy

import _ "embed"

// Dashboard is the Grafana dashboard in JSON.
//
//go:embed grafana-dashboard.json
var Dashboard []byte

// Alerts are the Prometheus alert rules in YAML.
//
//go:embed alerts.yaml
var Alerts []byte
