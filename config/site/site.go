// Package site holds the published document of a deployment: the routes that
// callers use, the services behind them, the client accounts and the limits on
// what a caller may send. Control keeps its versions as opaque content; this
// package says what a version means and whether it may be accepted.
package site

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// DocumentName names the document among those that control holds.
const DocumentName = "site"

// WeightsPrefix precedes the model in the name of a document that only says
// which weight version of a model is asked for.
const WeightsPrefix = "weights/"

// WeightsModel is the model that a document of that kind is about.
func WeightsModel(document string) (model string, ok bool) {
	return strings.CutPrefix(document, WeightsPrefix)
}

// Kind says what may be repeated of a request.
type Kind int

// Kinds of routes.
const (
	// KindIdempotent requests may run any number of times.
	KindIdempotent Kind = iota + 1
	// KindAtMostOnce requests run once at most for each attempt of a caller.
	KindAtMostOnce
	// KindStream requests are answered by events. They run once at most,
	// unless the route is Resumable.
	KindStream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"unknown", "idempotent", "at most once", "stream"}[k]
}

// Target is one service of a route and its share.
type Target struct {
	Service string
	// Weight is the share of requests among the weights of a route.
	Weight int
}

// Route says where the requests under a host and path prefix go.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another server after their last event.
	Resumable bool
	// Timeout is the longest a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time in which an answer, or a stream's first event, is
	// on time; Gap the longest pause between two events.
	Objective, Gap time.Duration
	// Bears is how long callers wait for the first event of a stream, or for the
	// next one, before they leave; 0 if that is not known.
	Bears time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxServers is how many backend servers one request may be sent to.
	MaxServers int
	// Public routes need no account key.
	Public bool
	// Prompt routes carry prompts with declared parts.
	Prompt bool
}

// Repeatable reports whether a request may run on a second server.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Engine describes the backend servers of a service that run a model.
type Engine struct {
	// Slots is how many requests a server runs at once.
	Slots int
	// MemoryTokens is how many tokens of context a server holds.
	MemoryTokens int
	// TokenBytes is the size of one token's context; bytes.
	TokenBytes int
	// LinkMbps is the speed of a server's link for contexts; Mbit/s.
	LinkMbps float64
	// Watchers is how many long polls for events a server takes at once.
	Watchers int
	Models   []string
}

// Store describes a store of kept contexts.
type Store struct {
	Address, Zone string
	MemoryTokens  int
	LinkMbps      float64
	// FirstDelay is what each transfer waits in addition.
	FirstDelay time.Duration
	Watchers   int
	// Managed stores drop nothing by themselves.
	Managed bool
}

// Service is a set of backend servers that announce its name.
type Service struct {
	Name string
	// HealthPath answers whether a server considers itself well.
	HealthPath string
	// MaxConnections is what one server accepts from all callers together; 0
	// for no bound.
	MaxConnections int
	// Engine is nil for plain services, Store for all but stores.
	Engine *Engine
	Store  *Store
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority takes precedence over a route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Isolated accounts share no kept context with others.
	Isolated bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Document is one version of a deployment. It is immutable once compiled.
type Document struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Accounts is nil if callers need no key.
	Accounts []Account
	Limits   Limits
}

// Isolated is the number of accounts that share no kept context.
func (d *Document) Isolated() int {
	n := 0
	for _, a := range d.Accounts {
		if a.Isolated {
			n++
		}
	}
	return n
}

// Check reports every fault that makes a document unacceptable.
func (d *Document) Check() error {
	var faults []error
	fault := func(format string, args ...any) { faults = append(faults, fmt.Errorf(format, args...)) }
	if d.Version == 0 {
		fault("version: must be above 0")
	}
	services := make(map[string]bool, len(d.Services))
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			fault("service %q: name is empty or repeated", s.Name)
		}
		services[s.Name] = true
	}
	places := make(map[string]string, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		place := strings.ToLower(r.Host) + r.Prefix
		if other, ok := places[place]; ok {
			fault("route %q: same host and prefix as route %q", r.Name, other)
		}
		places[place] = r.Name
		r.check(services, fault)
	}
	owners := make(map[string]string)
	for _, a := range d.Accounts {
		for _, k := range a.Keys {
			if other, ok := owners[k]; ok && other != a.Name {
				fault("account %q: shares a key with account %q", a.Name, other)
			}
			owners[k] = a.Name
		}
	}
	return errors.Join(faults...)
}

func (r *Route) check(services map[string]bool, fault func(string, ...any)) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		fault("route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	if r.Kind < KindIdempotent || r.Kind > KindStream {
		fault("route %q: kind is unknown", r.Name)
	}
	if r.Timeout <= 0 {
		fault("route %q: timeout must be above 0", r.Name)
	}
	sum := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			fault("route %q: unknown service %q", r.Name, t.Service)
		}
		if t.Weight < 0 {
			fault("route %q: weight of service %q is below 0", r.Name, t.Service)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		fault("route %q: weights add up to 0", r.Name)
	}
}
