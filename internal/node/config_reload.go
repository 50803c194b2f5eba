package node

import (
	"fmt"
	"slices"

	"salttrack/internal/settings"
)

// verifyKeys returns a *ConfigError if this configuration lacks a key that the running one has.
// Without this check a default would replace a value that was removed from the file by accident.
func (c *Config) verifyKeys(running *Config) error {
	path := c.missingPath(running)
	if path == "" {
		return nil
	}
	return &ConfigError{Path: path, Err: fmt.Errorf("configuration: %s %w", path, ErrMissingKey)}
}

// missingPath returns the path of a key that the running configuration has and this one lacks.
// It returns "" if there is none.
func (c *Config) missingPath(running *Config) string {
	for _, key := range [...]string{"name", "listen", "discovery", "admin", "seed", "limits", "known"} {
		if _, ok := running.keys[key]; ok && c.keys[key] == nil {
			return key
		}
	}
	if path := c.missingLimit(running); path != "" {
		return path
	}
	if path := c.document.MissingPath(running.document); path != "" {
		return "settings." + path
	}
	return ""
}

func (c *Config) missingLimit(running *Config) string {
	const key = "limits"
	runningLimits, err := settings.ParseJSON(running.keys[key])
	if err != nil { // the running configuration has no limits
		return ""
	}
	limits, err := settings.ParseJSON(c.keys[key])
	if err != nil {
		return key
	}
	if path := limits.MissingPath(runningLimits); path != "" {
		return key + "." + path
	}
	return ""
}

// nextSettings returns the settings that replace the running ones.
// Settings that identify the instance change only at a restart:
// the number of the instance, its tier, its zone, the names of the zones, and how it receives endpoint updates.
// The function inUse reports whether a request in progress uses a class number.
func (c *Config) nextSettings(running settings.Settings, inUse func(class uint8) bool) (settings.Settings, error) {
	next, err := c.Settings.WithClassNumbers(running, inUse)
	if err != nil {
		return settings.Settings{}, err
	}
	next.Instance = running.Instance
	next.Tier = running.Tier
	next.TierCount = running.TierCount
	next.PollEndpoints = running.PollEndpoints
	next.Zone = running.Zone
	next.ZoneNames = running.ZoneNames
	return next, nil
}

// restartOnlyChanges returns the paths of the values that differ in a reloaded configuration
// and that take effect only when the process is restarted.
func (c *Config) restartOnlyChanges(reloaded *Config) []string {
	var changed []string
	for path, same := range map[string]bool{
		"name":               c.Name == reloaded.Name,
		"listen":             c.Listen == reloaded.Listen,
		"admin":              c.Admin == reloaded.Admin,
		"limits":             c.Limits == reloaded.Limits,
		"settings.me":        c.Settings.Instance == reloaded.Settings.Instance,
		"settings.stage":     c.Settings.Tier == reloaded.Settings.Tier,
		"settings.tiers":     c.Settings.TierCount == reloaded.Settings.TierCount,
		"settings.discovery": c.Settings.PollEndpoints == reloaded.Settings.PollEndpoints,
		"settings.zone":      c.Settings.Zone == reloaded.Settings.Zone,
		"settings.dcs":       slices.Equal(c.Settings.ZoneNames, reloaded.Settings.ZoneNames),
	} {
		if !same {
			changed = append(changed, path)
		}
	}
	slices.Sort(changed)
	return changed
}
