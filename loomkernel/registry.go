// Package loomkernel provides a registry of plug-ins and starts and stops the
// components of a process in order.
package loomkernel

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

// Registry holds the plug-ins of one kind by name. The zero value is empty and
// ready to use; its methods may be called concurrently.
type Registry struct {
	mu sync.RWMutex
	// plugins only grows: there is no way to unregister.
	plugins map[string]any
}

// Register adds a plug-in. It panics if name is empty or registered already, or if
// plugin is nil, since that is a programming error.
func (r *Registry) Register(name string, plugin any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == "" || plugin == nil {
		panic("loomkernel: plug-in without a name or value")
	}
	if _, dup := r.plugins[name]; dup {
		panic(fmt.Sprintf("loomkernel: plug-in %q registered twice", name))
	}
	if r.plugins == nil {
		r.plugins = make(map[string]any)
	}
	r.plugins[name] = plugin
}

// Lookup returns the plug-in registered under name and whether there is one.
func (r *Registry) Lookup(name string) (any, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.plugins[name]
	return plugin, ok
}

// Names returns the registered names in alphabetical order.
func (r *Registry) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.plugins))
}
