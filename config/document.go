// Package config defines the configuration document of an environment: its
// schema, strict decoding, validation with line and path, and the split into
// individually versioned items.
package config

import (
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// SchemaVersion is the only schema version that this build accepts.
const SchemaVersion = "galenaarch/v1"

// Stage states whether an environment accepts direct changes or promotions only.
type Stage string

// Stages of an environment.
const (
	// StageTrial accepts direct changes.
	StageTrial Stage = "trial"
	// StageProduction accepts only promotions of accepted trial revisions.
	StageProduction Stage = "production"
)

// Objective weighs time to first token against recomputed context in the
// routing cost function.
type Objective struct {
	// RecomputedTokenSeconds is the cost of recomputing one token, added to the
	// time the recomputation takes; seconds per token, default 0.
	RecomputedTokenSeconds float64 `yaml:"recomputed_token_seconds" json:"recomputed_token_seconds"`
	// LinkByteSeconds is the cost of transferring one byte over a store link,
	// added to the time the transfer takes; seconds per byte, default 0.
	LinkByteSeconds float64 `yaml:"link_byte_seconds" json:"link_byte_seconds"`
	// TimeToFirstToken is the target time to first token; default 2s.
	TimeToFirstToken Duration `yaml:"first_token" json:"first_token"`
}

// Deployment is a served model that client accounts may be granted access to.
type Deployment struct {
	Name string `yaml:"name" json:"name"`
	// Model is the model name that clients send in a request.
	Model string `yaml:"model" json:"model"`
	// WeightVersion is the weight version that new requests run on.
	WeightVersion string `yaml:"weight_version" json:"weight_version"`
	// Adapters are loaded in addition to the weights.
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty"`
	// Servers is the desired number of backend servers.
	Servers int `yaml:"servers" json:"servers"`
	// MinServingFraction is the fraction of Servers that keeps serving during a
	// weight rollout; 0 to 1, default 0.5.
	MinServingFraction float64 `yaml:"min_serving" json:"min_serving"`
	// DrainTimeout bounds how long a server is drained before it is ordered to
	// load weights, for engines that cannot finish running requests during a
	// load. Default 0: running requests continue during the load on their own
	// weight version.
	DrainTimeout Duration `yaml:"drain_limit,omitempty" json:"drain_limit,omitempty"`
	// Roles partitions the servers; without roles every server does all work.
	Roles []ServerRole `yaml:"roles,omitempty" json:"roles,omitempty"`
	// BlockTokens is the size of a context block; tokens.
	BlockTokens int `yaml:"block_tokens" json:"block_tokens"`
	// Policy is the routing policy module; default "cost".
	Policy    string    `yaml:"policy,omitempty" json:"policy,omitempty"`
	Objective Objective `yaml:"objective" json:"objective"`
	// Stores names the KV cache stores that the deployment may use.
	Stores []string `yaml:"stores,omitempty" json:"stores,omitempty"`
}

// ServerRole is a subset of a deployment's servers with the same role.
type ServerRole struct {
	// Name is passed to the engines, for example "prefill".
	Name string `yaml:"name" json:"name"`
	// Servers is the desired number of backend servers in this role.
	Servers int `yaml:"servers" json:"servers"`
}

// Limits are the rate limits of one client account across all entry instances.
type Limits struct {
	// RequestsPerSecond is the sustained request rate; requests per second, 0
	// for no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second"`
	// Concurrency is the maximum number of concurrent requests, 0 for no limit.
	Concurrency int `yaml:"concurrency" json:"concurrency"`
	// TokensPerMinute limits prompt and output tokens, 0 for no limit.
	TokensPerMinute int `yaml:"tokens_per_minute" json:"tokens_per_minute"`
}

// Key is one bearer key of a client account, stored only as its hash.
type Key struct {
	// SHA256 is the SHA-256 of the key in lower-case hexadecimal.
	SHA256 string `yaml:"sha256" json:"sha256"`
	// Revoked keys are rejected.
	Revoked bool `yaml:"revoked,omitempty" json:"revoked,omitempty"`
}

// ClientAccount holds the credentials, access rights and limits of a client.
type ClientAccount struct {
	Name string `yaml:"name" json:"name"`
	Keys []Key  `yaml:"keys" json:"keys"`
	// Deployments and Services list what the account may use.
	Deployments []string `yaml:"deployments,omitempty" json:"deployments,omitempty"`
	Services    []string `yaml:"services,omitempty" json:"services,omitempty"`
	// Weight is the account's weight in fair queueing; default 1.
	Weight float64 `yaml:"weight" json:"weight"`
	// Priority is the default priority class of the account's requests:
	// "interactive" or "batch".
	Priority Priority `yaml:"priority" json:"priority"`
	Limits   Limits   `yaml:"limits" json:"limits"`
}

// Priority is a priority class of requests.
type Priority string

// Priority classes.
const (
	// PriorityInteractive is for requests with a user waiting for the first token.
	PriorityInteractive Priority = "interactive"
	// PriorityBatch is for long-running jobs that tolerate queueing.
	PriorityBatch Priority = "batch"
)

// Store is a KV cache store and the link to it.
type Store struct {
	Name string `yaml:"name" json:"name"`
	// URL is the base URL; its host is an IP address.
	URL           string `yaml:"url" json:"url"`
	FailureDomain string `yaml:"failure_domain" json:"failure_domain"`
	// LinkBytesPerSecond is the bandwidth budget of the link; bytes per second.
	LinkBytesPerSecond int64 `yaml:"link_bytes_per_second" json:"link_bytes_per_second"`
	// CapacityBytes is the capacity for cached context; bytes.
	CapacityBytes int64 `yaml:"capacity_bytes" json:"capacity_bytes"`
}

// Call declares one call of a plain service.
type Call struct {
	// Path is a path prefix relative to the service's address.
	Path   string `yaml:"path" json:"path"`
	Method string `yaml:"method" json:"method"`
	// Idempotent calls may be retried, undeclared calls never.
	Idempotent bool `yaml:"repeatable" json:"repeatable"`
	// Timeout applies to a single attempt; default 10s.
	Timeout Duration `yaml:"timeout" json:"timeout"`
}

// Service is a plain HTTP service that is not a model engine.
type Service struct {
	Name  string `yaml:"name" json:"name"`
	Calls []Call `yaml:"calls" json:"calls"`
}

// ServerKind declares the properties of a kind of backend server.
type ServerKind struct {
	Name string `yaml:"name" json:"name"`
	// Adapter is the module that decodes its status reports.
	Adapter string `yaml:"adapter" json:"adapter"`
	// ChecksFencing is true if it rejects orders with a stale fencing number.
	ChecksFencing bool `yaml:"checks_fencing" json:"checks_fencing"`
	// ReportInterval is the polling interval of its status reports; default 500ms.
	ReportInterval Duration `yaml:"report_interval" json:"report_interval"`
}

// WeightStore is the storage from which engines load weights.
type WeightStore struct {
	URL string `yaml:"url" json:"url"`
	// ConcurrentLoads is the maximum number of concurrent loads; default 2.
	ConcurrentLoads int `yaml:"concurrent_loads" json:"concurrent_loads"`
	// LoadTimeout is the time after which a load is treated as failed; default 1m.
	LoadTimeout Duration `yaml:"load_timeout,omitempty" json:"load_timeout,omitempty"`
}

// Document is the complete configuration of one environment.
type Document struct {
	Schema      string `yaml:"schema" json:"schema"`
	Environment string `yaml:"environment" json:"environment"`
	Stage       Stage  `yaml:"stage" json:"stage"`
	// PromotesFrom is the trial environment whose revisions are promoted to this
	// production environment.
	PromotesFrom   string          `yaml:"promotes_from,omitempty" json:"promotes_from,omitempty"`
	Deployments    []Deployment    `yaml:"deployments" json:"deployments"`
	ClientAccounts []ClientAccount `yaml:"client_accounts" json:"client_accounts"`
	Stores         []Store         `yaml:"stores,omitempty" json:"stores,omitempty"`
	Services       []Service       `yaml:"services,omitempty" json:"services,omitempty"`
	ServerKinds    []ServerKind    `yaml:"server_kinds" json:"server_kinds"`
	WeightStore    WeightStore     `yaml:"weight_store,omitempty" json:"weight_store,omitempty"`
}

// Duration is a time.Duration encoded as text, for example "250ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// UnmarshalYAML implements yaml.NodeUnmarshaler. Decoding from the node gives
// errors a line number.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	if err := d.UnmarshalText([]byte(node.GetToken().Value)); err != nil {
		return &yaml.SyntaxError{
			Message: "expected a duration with its unit, for example 250ms",
			Token:   node.GetToken(),
		}
	}
	return nil
}

// Defaults of optional fields.
const (
	defaultMinServing      = 0.5
	defaultPolicy          = "cost"
	defaultFirstToken      = Duration(2 * time.Second)
	defaultWeight          = 1.0
	defaultCallTimeout     = Duration(10 * time.Second)
	defaultReportInterval  = Duration(500 * time.Millisecond)
	defaultConcurrentLoads = 2
	defaultLoadTimeout     = Duration(time.Minute)
)

// setDefaults sets omitted optional fields to their defaults.
func (d *Document) setDefaults() {
	for i := range d.Deployments {
		deployment := &d.Deployments[i]
		setIfZero(&deployment.MinServingFraction, defaultMinServing)
		setIfZero(&deployment.Policy, defaultPolicy)
		setIfZero(&deployment.Objective.TimeToFirstToken, defaultFirstToken)
	}
	for i := range d.ClientAccounts {
		setIfZero(&d.ClientAccounts[i].Weight, defaultWeight)
		setIfZero(&d.ClientAccounts[i].Priority, PriorityInteractive)
	}
	for i := range d.Services {
		for j := range d.Services[i].Calls {
			setIfZero(&d.Services[i].Calls[j].Timeout, defaultCallTimeout)
		}
	}
	for i := range d.ServerKinds {
		setIfZero(&d.ServerKinds[i].ReportInterval, defaultReportInterval)
	}
	setIfZero(&d.WeightStore.ConcurrentLoads, defaultConcurrentLoads)
	setIfZero(&d.WeightStore.LoadTimeout, defaultLoadTimeout)
}

func setIfZero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
