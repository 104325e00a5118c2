package site

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"strings"
)

// Table is a document indexed for routing requests.
type Table struct {
	*Document
	routesByHost  map[string]*hostRoutes
	services      map[string]*Service
	accountsByKey map[string]*Account
	isolated      map[string]bool
	isolatedGroup string
}

// hostRoutes are the routes of a host by prefix.
type hostRoutes struct {
	byPrefix map[string]*Route
	lengths  []int // of the prefixes, descending
}

// Compile builds the routing table of a valid document.
func Compile(d *Document) *Table {
	t := &Table{Document: d, routesByHost: make(map[string]*hostRoutes), services: make(map[string]*Service), accountsByKey: make(map[string]*Account), isolated: make(map[string]bool), isolatedGroup: isolatedGroup(d)}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		h := t.routesByHost[host]
		if h == nil {
			h = &hostRoutes{byPrefix: make(map[string]*Route)}
			t.routesByHost[host] = h
		}
		h.add(r)
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Accounts {
		t.isolated[d.Accounts[i].Name] = d.Accounts[i].Isolated
		for _, k := range d.Accounts[i].Keys {
			t.accountsByKey[k] = &d.Accounts[i]
		}
	}
	return t
}

// Route returns the route with the longest prefix that matches a host and raw
// path, or nil.
func (t *Table) Route(host, path string) *Route {
	h, ok := t.routesByHost[strings.ToLower(host)]
	if !ok {
		if name, _, err := net.SplitHostPort(host); err == nil {
			h = t.routesByHost[strings.ToLower(name)]
		}
	}
	return h.longestMatch(path)
}

// add adds a route; of two with the same prefix the first is kept.
func (h *hostRoutes) add(r *Route) {
	if h.byPrefix[r.PathPrefix] != nil {
		return
	}
	h.byPrefix[r.PathPrefix] = r
	length := len(r.PathPrefix)
	i, found := slices.BinarySearchFunc(h.lengths, length, func(a, b int) int { return b - a })
	if !found {
		h.lengths = slices.Insert(h.lengths, i, length)
	}
}

// longestMatch returns the route with the longest prefix of a path, or nil.
func (h *hostRoutes) longestMatch(path string) *Route {
	if h == nil {
		return nil
	}
	for _, length := range h.lengths {
		if length > len(path) {
			continue
		}
		if r := h.byPrefix[path[:length]]; r != nil {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HasService reports whether the document names a service.
func (t *Table) HasService(name string) bool { return t.services[name] != nil }

// Account returns the account to which a key belongs, or nil.
func (t *Table) Account(key string) *Account { return t.accountsByKey[key] }

// RequiresKey reports whether requests to a route must present an account key.
func (t *Table) RequiresKey(r *Route) bool { return len(t.Accounts) > 0 && !r.Public }

// PickTarget returns the weighted choice of a target service for a uniform random
// number in [0, 1).
func (r *Route) PickTarget(point float64) string {
	totalWeight := 0
	for _, t := range r.Targets {
		totalWeight += t.Weight
	}
	remaining := point * float64(totalWeight)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 && t.Weight > 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Isolated reports whether an account is isolated; listed is false if the document does
// not name it.
func (t *Table) Isolated(account string) (isolated, listed bool) {
	isolated, listed = t.isolated[account]
	return isolated, listed
}

// IsolatedGroup identifies the set of isolated accounts; empty if there are none. Equal
// sets have equal groups, whatever was published between them.
func (t *Table) IsolatedGroup() string { return t.isolatedGroup }

// groupBytes is the length of the digest that identifies a set of accounts.
const groupBytes = 8

func isolatedGroup(d *Document) string {
	var names []string
	for i := range d.Accounts {
		if d.Accounts[i].Isolated {
			names = append(names, d.Accounts[i].Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	h := sha256.New()
	for _, name := range names {
		// The length keeps different sets from having the same input.
		fmt.Fprintf(h, "%d:%s", len(name), name)
	}
	return hex.EncodeToString(h.Sum(nil)[:groupBytes])
}
