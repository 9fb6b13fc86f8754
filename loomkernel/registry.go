// Package loomkernel holds the registry of plug-ins and the order in which the
// parts of a process start and stop.
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
	// plugins never loses an entry.
	plugins map[string]any
}

// Register adds a plug-in. It panics when name is empty or taken, since that
// is a mistake of the program.
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

// Lookup returns the plug-in that was registered as name.
func (r *Registry) Lookup(name string) (any, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	plugin, ok := r.plugins[name]
	return plugin, ok
}

// Names returns the registered names in order.
func (r *Registry) Names() []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.Sorted(maps.Keys(r.plugins))
}
