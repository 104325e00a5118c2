// Package kernel provides the module registry and the process lifecycle. It is
// independent of requests, configuration and state: features live in modules
// that register themselves under a dotted ID in their init functions.
package kernel

import (
	"fmt"
	"slices"
	"strings"
	"sync"
)

// ID identifies a module by a dotted path, for example "routing.policy.cost".
// All parts except the last form the namespace.
type ID string

// Namespace returns the part of the ID before the last dot, or "" if there is no
// dot.
func (id ID) Namespace() string {
	i := strings.LastIndexByte(string(id), '.')
	if i < 0 {
		return ""
	}
	return string(id[:i])
}

// Name returns the part of the ID after the last dot.
func (id ID) Name() string {
	return string(id[strings.LastIndexByte(string(id), '.')+1:])
}

// Module describes a plug-in. New returns a new, unprovisioned value of it.
type Module struct {
	ID  ID
	New func() any
}

var registry = struct {
	sync.RWMutex
	modules map[ID]Module
}{modules: make(map[ID]Module)}

// Register adds a module to the registry. It is called from init functions and
// panics on a missing ID, a missing constructor or a duplicate ID, which are
// programming errors.
func Register(m Module) {
	if m.ID == "" || m.New == nil {
		panic("kernel: module without ID or constructor")
	}
	registry.Lock()
	defer registry.Unlock()
	if _, ok := registry.modules[m.ID]; ok {
		panic(fmt.Sprintf("kernel: module %q registered twice", m.ID))
	}
	registry.modules[m.ID] = m
}

// UnknownModuleError reports an ID that no module linked into the program has.
type UnknownModuleError struct {
	ID        ID
	Available []string
}

// Error implements error.
func (e *UnknownModuleError) Error() string {
	return fmt.Sprintf("unknown module %q, modules available in its namespace: %s", e.ID, strings.Join(e.Available, ", "))
}

// New constructs the module with the given ID and returns it as a T. It returns an
// UnknownModuleError if no module has the ID, and another error if the module is
// not a T.
func New[T any](id ID) (T, error) {
	var zero T
	registry.RLock()
	m, ok := registry.modules[id]
	registry.RUnlock()
	if !ok {
		return zero, &UnknownModuleError{ID: id, Available: ModuleNames(id.Namespace())}
	}
	v, ok := m.New().(T)
	if !ok {
		return zero, fmt.Errorf("module %q does not implement the requested interface", id)
	}
	return v, nil
}

// ModuleNames returns the names of the modules in a namespace, sorted.
func ModuleNames(namespace string) []string {
	registry.RLock()
	defer registry.RUnlock()
	var names []string
	for id := range registry.modules {
		if id.Namespace() == namespace {
			names = append(names, id.Name())
		}
	}
	slices.Sort(names)
	return names
}
