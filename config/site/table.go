package site

import (
	"net"
	"slices"
	"strings"
)

// Table is a document in the form that requests are looked up in.
type Table struct {
	*Document
	hosts    map[string][]*Route
	services map[string]*Service
	accounts map[string]*Account
}

// Compile makes the table of a checked document.
func Compile(d *Document) *Table {
	t := &Table{Document: d, hosts: make(map[string][]*Route), services: make(map[string]*Service), accounts: make(map[string]*Account)}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Accounts {
		for _, k := range d.Accounts[i].Keys {
			t.accounts[k] = &d.Accounts[i]
		}
	}
	return t
}

// Route returns the route of a host and raw path, or nil: the one with the
// longest prefix that begins the path.
func (t *Table) Route(host, path string) *Route {
	routes, ok := t.hosts[strings.ToLower(host)]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			routes = t.hosts[strings.ToLower(name)]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Account returns the account that holds a key, or nil.
func (t *Table) Account(key string) *Account { return t.accounts[key] }

// NeedsKey reports whether a request of a route must show an account's key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.Accounts) > 0 && !r.Public }

// Pick returns the target of a route for a number in [0, 1).
func (r *Route) Pick(at float64) string {
	sum := 0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	left := at * float64(sum)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 && t.Weight > 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
