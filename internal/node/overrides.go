package node

import "salttrack/internal/hotrestart"

// KnowsUpstream reports whether the named upstream is on the endpoint list, is disabled, or was recently removed from the list.
func (n *Node) KnowsUpstream(name string) bool {
	_, known := n.registry.Lookup(name)
	return known
}

// SetDisabled disables an upstream regardless of its state in the endpoint list, or enables it again.
// It calls done with nil once the override is in force and, if hot restart is enabled, stored for the peer processes.
// Otherwise it calls done with the error.
func (n *Node) SetDisabled(name string, disabled bool, done func(error)) {
	if n.peers != nil {
		n.peers.setOverride(name, disabled, done)
		return
	}
	n.applyOverride(name, hotrestart.Override{Disabled: disabled})
	done(nil)
}

// applyOverride puts an override in force in this process.
func (n *Node) applyOverride(name string, o hotrestart.Override) {
	if o.Disabled {
		n.disable(name)
		return
	}
	n.enable(name)
}

// disable stops sending requests to an upstream. The upstream keeps its id even while it is missing from the endpoint list.
func (n *Node) disable(name string) {
	n.log.WithField("upstream", name).Info("upstream disabled by operator")
	n.driver.Disable(n.registry.Pin(name))
}

// enable allows requests to an upstream again.
func (n *Node) enable(name string) {
	n.log.WithField("upstream", name).Info("upstream enabled by operator")
	n.driver.Enable(n.registry.Pin(name))
	n.registry.Unpin(name)
}
