package node

import (
	"strings"

	"salttrack/balance"
	"salttrack/internal/downstream"
	"salttrack/internal/settings"
)

// ApplyReload applies a reloaded configuration, or logs the error of reading it.
// The new settings apply to requests that arrive from now on, and the watch moves to a new address of discovery.
// An invalid configuration changes nothing. A reload is harmless if the configuration is unchanged, and during a shutdown.
func (n *Node) ApplyReload(next *Config, err error) {
	var merged settings.Settings
	if err == nil {
		merged, err = n.mergeSettings(next)
	}
	if err != nil {
		n.failedReloads.Inc()
		n.log.WithError(err).Warn("configuration reload failed, keeping the running configuration")
		return
	}
	n.reloads.Inc()
	n.logReload(next)
	n.reloaded = next
	n.settings = merged
	n.driver.ApplySettings(&merged.Config)
	n.server.ApplySettings(downstreamSettings(&merged))
	n.pool.ApplySettings(merged.ConnectTimeout, merged.KeepAlive, merged.InFlightColumn >= 0)
	n.endpoints.SetAddress(next.Discovery)
}

// mergeSettings returns the settings of a reloaded configuration, with the class numbers of the settings in force.
// It returns an error if the configuration is invalid or lacks a key that the running one has.
func (n *Node) mergeSettings(next *Config) (settings.Settings, error) {
	if err := next.verifyKeys(n.reloaded); err != nil {
		return settings.Settings{}, err
	}
	return next.nextSettings(n.settings, n.driver.ClassInUse)
}

// logReload logs a successful reload, with the names of the changed values that take effect only after a restart.
func (n *Node) logReload(next *Config) {
	log := n.log.WithField("discovery", next.Discovery)
	if names := n.config.restartOnlyChanges(next); len(names) > 0 {
		log = log.WithField("needs_restart", strings.Join(names, " "))
	}
	log.WithField("classes", strings.Join(next.Settings.ClassNames, " ")).Info("configuration reloaded")
}

// downstreamSettings returns the settings of the downstream server.
func downstreamSettings(s *settings.Settings) *downstream.Settings {
	d := &downstream.Settings{
		Classes:        map[string]uint8{},
		ResponseMargin: 2 * s.Granularity,
		Weights:        relativeWeights(s.Classes),
	}
	for i, name := range s.ClassNames {
		class := s.Classes[i]
		d.Idempotency = append(d.Idempotency, class.Idempotency)
		if class.Removed {
			continue
		}
		d.Classes[name] = uint8(i)
		d.LongestDeadline = max(d.LongestDeadline, class.Deadline)
	}
	return d
}

// relativeWeights returns the priority weights of classes, divided by the highest.
func relativeWeights(classes []balance.Class) []float64 {
	highest := 0.0
	for i := range classes {
		highest = max(highest, classes[i].PriorityWeight)
	}
	weights := make([]float64, len(classes))
	for i := range classes {
		weights[i] = 1
		if highest > 0 {
			weights[i] = classes[i].PriorityWeight / highest
		}
	}
	return weights
}
