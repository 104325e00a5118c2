// Package site defines the site document: the routes that clients use, the
// services behind them, the client accounts and the limits on client requests.
// The control plane stores its versions as opaque content; this package gives
// them their meaning and validates them.
package site

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// DocumentName is the name of the site document among the published documents.
const DocumentName = "site"

// WeightsPrefix is the name prefix of documents that set the target weight
// version of a model; the model name follows it.
const WeightsPrefix = "weights/"

// EvacuationPrefix is the name prefix of documents by which operators empty a
// failure domain or withdraw such an order; the domain's name follows it.
const EvacuationPrefix = "evacuation/"

// WeightsModel returns the model of a weight version document, by the name of
// the document.
func WeightsModel(document string) (model string, ok bool) {
	return strings.CutPrefix(document, WeightsPrefix)
}

// Kind is the kind of a route. It determines whether a request may be retried.
type Kind int

// Kinds of routes.
const (
	// KindIdempotent requests may be executed any number of times.
	KindIdempotent Kind = iota + 1
	// KindAtMostOnce requests are executed at most once per client attempt.
	KindAtMostOnce
	// KindStream requests get an event stream as their response. They are
	// executed at most once unless the route is resumable.
	KindStream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"unknown", "idempotent", "at most once", "stream"}[k]
}

// Target is a service of a route and its traffic weight.
type Target struct {
	Service string
	// Weight is relative to the sum of the weights of the route's targets.
	Weight int
}

// Route assigns the requests under a host and path prefix to services.
type Route struct {
	Name, Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Resumable streams may continue on another server after their last event.
	Resumable bool
	// Timeout is the longest time that a client is kept waiting.
	Timeout time.Duration
	// TargetLatency is the target latency of a response, or of a stream's first
	// event; TargetEventGap is the target for the longest interval between two
	// events.
	TargetLatency, TargetEventGap time.Duration
	// ClientTimeout is how long clients wait for the first or the next event of
	// a stream before they disconnect; 0 if unknown.
	ClientTimeout time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxServers is the maximum number of backend servers that one request may be
	// sent to.
	MaxServers int
	// Public routes require no account key.
	Public bool
	// DeclaresPrompt is true if requests declare the parts of their prompts.
	DeclaresPrompt bool
}

// Retryable reports whether a request may be retried on another server.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Engine describes the backend servers of a service that runs models.
type Engine struct {
	// Slots is the number of requests that a server runs concurrently.
	Slots int
	// MemoryTokens is the capacity of a server's KV cache; tokens.
	MemoryTokens int
	// TokenBytes is the size of one token in the KV cache; bytes.
	TokenBytes int
	// LinkMbps is the bandwidth of a server's link for KV cache transfers; Mbit/s.
	LinkMbps float64
	// MaxEventPolls is the number of concurrent long polls for events that a server
	// accepts.
	MaxEventPolls int
	Models        []string
}

// Store describes a KV cache store.
type Store struct {
	Address, Zone string
	MemoryTokens  int
	LinkMbps      float64
	// TransferDelay is the fixed delay before each transfer, in addition to the
	// transfer time.
	TransferDelay time.Duration
	MaxEventPolls int
	// Managed stores evict nothing on their own.
	Managed bool
}

// Service is the set of backend servers that announce its name.
type Service struct {
	Name string
	// HealthPath is the path of a server's health check.
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from
	// all peers together; 0 for no limit.
	MaxConnections int
	// ColdPerSecond is the number of requests per second that a cold server bears from all
	// peers together; 0 for no limit.
	ColdPerSecond float64
	// Engine is nil for plain services; Store is nil for all services except
	// stores.
	Engine *Engine
	Store  *Store
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated accounts share no cached context with other accounts.
	Isolated bool
}

// Limits are the limits on client requests.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Document is one version of the site document. It must not be modified once
// compiled.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Accounts is empty if clients need no key.
	Accounts []Account
	Limits   Limits
}

// IsolatedAccounts returns the number of isolated accounts.
func (d *Document) IsolatedAccounts() int {
	n := 0
	for _, a := range d.Accounts {
		if a.Isolated {
			n++
		}
	}
	return n
}

// Validate returns all errors that make a document invalid, joined into one.
func (d *Document) Validate() error {
	var errs []error
	report := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if d.Version == 0 {
		report("version: must be above 0")
	}
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			report("service %q: name is empty or repeated", s.Name)
		}
		services[s.Name] = true
	}
	routeNames := make(map[string]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		match := strings.ToLower(r.Host) + r.PathPrefix
		if other, ok := routeNames[match]; ok {
			report("route %q: same host and prefix as route %q", r.Name, other)
		}
		routeNames[match] = r.Name
		r.check(services, report)
	}
	owners := make(map[string]string)
	for _, a := range d.Accounts {
		for _, k := range a.Keys {
			if other, ok := owners[k]; ok && other != a.Name {
				report("account %q: shares a key with account %q", a.Name, other)
			}
			owners[k] = a.Name
		}
	}
	return errors.Join(errs...)
}

func (r *Route) check(services map[string]bool, report func(string, ...any)) {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		report("route %q: prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	if r.Kind < KindIdempotent || r.Kind > KindStream {
		report("route %q: kind is unknown", r.Name)
	}
	if r.Timeout <= 0 {
		report("route %q: timeout must be above 0", r.Name)
	}
	totalWeight := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			report("route %q: unknown service %q", r.Name, t.Service)
		}
		if t.Weight < 0 {
			report("route %q: weight of service %q is below 0", r.Name, t.Service)
		}
		totalWeight += t.Weight
	}
	if totalWeight <= 0 {
		report("route %q: weights add up to 0", r.Name)
	}
}
