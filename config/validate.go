package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
)

const sha256Bytes = 32

// validator collects the problems of one document.
type validator struct {
	problems Problems
}

func (v *validator) add(path, format string, args ...any) {
	v.problems = append(v.problems, &Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (v *validator) requireName(path, value string) {
	if value == "" {
		v.add(path, "expected a name")
	}
}

func (v *validator) requirePositive(path string, value float64, unit string) {
	if value <= 0 {
		v.add(path, "%v must be above 0 %s", value, unit)
	}
}

func (v *validator) requireNonNegative(path string, value float64, unit string) {
	if value < 0 {
		v.add(path, "%v must not be below 0 %s", value, unit)
	}
}

func (v *validator) requireURL(path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		v.add(path, "%q: expected http:// or https:// with an IP number", value)
		return
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		v.add(path, "%q: expected an IP number and a port", u.Host)
	}
}

func (v *validator) requireDeclared(path, value string, names []string) {
	if !slices.Contains(names, value) {
		v.add(path, "%q is not declared; declared: %v", value, names)
	}
}

func unique[T any](v *validator, section string, items []T, name func(T) string) []string {
	names := make([]string, 0, len(items))
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		itemName := name(item)
		path := fmt.Sprintf("$.%s[%d].name", section, i)
		v.requireName(path, itemName)
		if seen[itemName] {
			v.add(path, "%q stands twice", itemName)
		}
		seen[itemName] = true
		names = append(names, itemName)
	}
	return names
}

// Validate validates a decoded document and returns all problems, without line
// numbers.
func Validate(d *Document) Problems {
	v := &validator{}
	if d.Schema != SchemaVersion {
		v.add("$.schema", "%q: expected %q", d.Schema, SchemaVersion)
	}
	v.requireName("$.environment", d.Environment)
	v.stage(d)
	stores := unique(v, "stores", d.Stores, func(s Store) string { return s.Name })
	services := unique(v, "services", d.Services, func(s Service) string { return s.Name })
	deployments := unique(v, "deployments", d.Deployments, func(x Deployment) string { return x.Name })
	unique(v, "client_accounts", d.ClientAccounts, func(a ClientAccount) string { return a.Name })
	unique(v, "server_kinds", d.ServerKinds, func(k ServerKind) string { return k.Name })
	for i := range d.Deployments {
		v.deployment(fmt.Sprintf("$.deployments[%d]", i), &d.Deployments[i], stores)
	}
	for i := range d.ClientAccounts {
		v.account(fmt.Sprintf("$.client_accounts[%d]", i), &d.ClientAccounts[i], deployments, services)
	}
	v.rejectDuplicateKeys(d)
	for i := range d.Stores {
		v.store(fmt.Sprintf("$.stores[%d]", i), &d.Stores[i])
	}
	for i := range d.Services {
		v.service(fmt.Sprintf("$.services[%d]", i), &d.Services[i])
	}
	for i := range d.ServerKinds {
		path := fmt.Sprintf("$.server_kinds[%d]", i)
		v.requireName(path+".adapter", d.ServerKinds[i].Adapter)
		v.requirePositive(path+".report_interval", float64(d.ServerKinds[i].ReportInterval), "duration, for example 500ms")
	}
	v.requireNonNegative("$.weight_store.concurrent_loads", float64(d.WeightStore.ConcurrentLoads), "loads")
	v.requireNonNegative("$.weight_store.load_timeout", float64(d.WeightStore.LoadTimeout), "duration, for example 1m")
	if d.WeightStore.URL != "" {
		v.requireURL("$.weight_store.url", d.WeightStore.URL)
	}
	return v.problems
}

func (v *validator) stage(d *Document) {
	switch d.Stage {
	case StageTrial:
		if d.PromotesFrom != "" {
			v.add("$.promotes_from", "a trial environment is not promoted to")
		}
	case StageProduction:
		if d.PromotesFrom == "" {
			v.add("$.promotes_from", "expected the name of the trial environment")
		}
	default:
		v.add("$.stage", "%q: expected %q or %q", d.Stage, StageTrial, StageProduction)
	}
}

func (v *validator) deployment(path string, d *Deployment, stores []string) {
	v.requireName(path+".model", d.Model)
	v.requireName(path+".weight_version", d.WeightVersion)
	v.requirePositive(path+".servers", float64(d.Servers), "servers")
	v.requirePositive(path+".block_tokens", float64(d.BlockTokens), "tokens")
	if d.MinServingFraction < 0 || d.MinServingFraction > 1 {
		v.add(path+".min_serving", "%v: expected a share from 0 to 1", d.MinServingFraction)
	}
	v.roles(path, d)
	v.requireNonNegative(path+".drain_limit", float64(d.DrainTimeout), "duration, for example 1m")
	v.requireNonNegative(path+".objective.recomputed_token_seconds", d.Objective.RecomputedTokenSeconds, "seconds a token")
	v.requireNonNegative(path+".objective.link_byte_seconds", d.Objective.LinkByteSeconds, "seconds a byte")
	v.requirePositive(path+".objective.first_token", float64(d.Objective.TimeToFirstToken), "duration, for example 370ms")
	for i, s := range d.Stores {
		v.requireDeclared(fmt.Sprintf("%s.stores[%d]", path, i), s, stores)
	}
}

// roles checks that the roles together do not need more servers than declared.
func (v *validator) roles(path string, d *Deployment) {
	total := 0
	var names []string
	for i, r := range d.Roles {
		rolePath := fmt.Sprintf("%s.roles[%d]", path, i)
		v.requireName(rolePath+".name", r.Name)
		v.requirePositive(rolePath+".servers", float64(r.Servers), "servers")
		if slices.Contains(names, r.Name) {
			v.add(rolePath+".name", "%q stands twice", r.Name)
		}
		names = append(names, r.Name)
		total += r.Servers
	}
	if len(d.Roles) > 0 && total > d.Servers {
		v.add(path+".roles", "%d servers in roles, but %d are declared", total, d.Servers)
	}
}

func (v *validator) account(path string, a *ClientAccount, deployments, services []string) {
	for i, k := range a.Keys {
		raw, err := hex.DecodeString(k.SHA256)
		if err != nil || len(raw) != sha256Bytes {
			v.add(fmt.Sprintf("%s.keys[%d].sha256", path, i), "expected a SHA-256 of 64 hexadecimal digits")
		}
	}
	for i, n := range a.Deployments {
		v.requireDeclared(fmt.Sprintf("%s.deployments[%d]", path, i), n, deployments)
	}
	for i, n := range a.Services {
		v.requireDeclared(fmt.Sprintf("%s.services[%d]", path, i), n, services)
	}
	v.requirePositive(path+".weight", a.Weight, "share")
	if a.Priority != PriorityInteractive && a.Priority != PriorityBatch {
		v.add(path+".priority", "%q: expected %q or %q", a.Priority, PriorityInteractive, PriorityBatch)
	}
	v.requireNonNegative(path+".limits.requests_per_second", a.Limits.RequestsPerSecond, "requests a second")
	v.requireNonNegative(path+".limits.concurrency", float64(a.Limits.Concurrency), "requests")
	v.requireNonNegative(path+".limits.tokens_per_minute", float64(a.Limits.TokensPerMinute), "tokens a minute")
}

// rejectDuplicateKeys rejects keys that are listed more than once, in one client
// account or in several.
func (v *validator) rejectDuplicateKeys(d *Document) {
	owners := make(map[string]string)
	for i, a := range d.ClientAccounts {
		for j, k := range a.Keys {
			if other, ok := owners[k.SHA256]; ok {
				v.add(fmt.Sprintf("$.client_accounts[%d].keys[%d].sha256", i, j), "is also a key of %q", other)
			}
			owners[k.SHA256] = a.Name
		}
	}
}

func (v *validator) store(path string, s *Store) {
	v.requireURL(path+".url", s.URL)
	v.requireName(path+".failure_domain", s.FailureDomain)
	v.requirePositive(path+".link_bytes_per_second", float64(s.LinkBytesPerSecond), "bytes a second")
	v.requirePositive(path+".capacity_bytes", float64(s.CapacityBytes), "bytes")
}

func (v *validator) service(path string, s *Service) {
	for i, call := range s.Calls {
		callPath := fmt.Sprintf("%s.calls[%d]", path, i)
		if len(call.Path) == 0 || call.Path[0] != '/' {
			v.add(callPath+".path", "%q: expected a path that begins with /", call.Path)
		}
		v.requireName(callPath+".method", call.Method)
		v.requirePositive(callPath+".timeout", float64(call.Timeout), "duration, for example 10s")
	}
}
