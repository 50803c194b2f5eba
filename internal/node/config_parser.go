package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"
	"strconv"

	"salttrack/internal/discovery"
	"salttrack/internal/settings"
)

// Limits that apply where the configuration file sets none.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
)

// file is the JSON object of a configuration file. Unknown keys are ignored.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"admin"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// setEnvironmentValues replaces the values of the file for which an environment variable is set.
// The keys of environmentValues are names of environment variables.
func (f *file) setEnvironmentValues(environmentValues map[string]string) {
	for variable, field := range map[string]*string{
		nameVariable:      &f.Name,
		listenVariable:    &f.Listen,
		discoveryVariable: &f.Discovery,
		adminVariable:     &f.Admin,
	} {
		if text := environmentValues[variable]; text != "" {
			*field = text
		}
	}
}

// configParser parses the text of a configuration.
type configParser struct {
	file string // path for error messages, "" if the text was not read from a file
}

// fail returns a *ConfigError. The parameter allowed is "" if the cause states the allowed values.
func (p *configParser) fail(path, value, allowed string, cause error) error {
	return &ConfigError{File: p.file, Path: path, Value: value, Allowed: allowed, Err: cause}
}

func (p *configParser) parse(text []byte, environmentValues map[string]string) (*Config, error) {
	f := file{Limits: Limits{Cores: defaultCores, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}}
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, p.fail("", "", "", err)
	}
	f.setEnvironmentValues(environmentValues)
	config := &Config{Name: f.Name, Limits: f.Limits, ListenFD: -1, Seed: parseSeed(f.Seed)}
	for _, step := range []func(*file, *Config) error{p.addresses, p.limits, p.cachedEndpoints, p.settings} {
		if err := step(&f, config); err != nil {
			return nil, err
		}
	}
	if err := json.Unmarshal(text, &config.keys); err != nil {
		return nil, p.fail("", "", "", err)
	}
	return config, nil
}

func (p *configParser) addresses(f *file, config *Config) error {
	var err error
	if config.Listen, err = p.address("listen", f.Listen); err != nil {
		return err
	}
	if config.Discovery, err = p.address("discovery", f.Discovery); err != nil {
		return err
	}
	if f.Admin != "" {
		config.Admin, err = p.address("admin", f.Admin)
	}
	return err
}

func (p *configParser) address(path, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, p.fail(path, text, "an IP address and a port", fmt.Errorf("%s %q: %w", path, text, err))
	}
	return address, nil
}

func (p *configParser) limits(f *file, _ *Config) error {
	if f.Limits.Sockets < minSockets || f.Limits.MemoryMB < minMemoryMB || f.Limits.Cores <= 0 {
		return p.fail("limits", fmt.Sprintf("%+v", f.Limits), "", ErrLimitsTooLow)
	}
	return nil
}

// parseSeed parses a seed as a hexadecimal number. For any other text it returns the FNV-1a hash of the text.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return hash.Sum64()
}

func (p *configParser) cachedEndpoints(f *file, config *Config) error {
	if len(f.Known) == 0 || string(f.Known) == "null" {
		config.CachedEndpoints = &discovery.Update{Snapshot: true}
		return nil
	}
	cached, err := discovery.ParseUpdate(f.Known)
	if err != nil {
		return p.fail("known", "", "", fmt.Errorf("known: %w", err))
	}
	config.CachedEndpoints = cached
	return nil
}

func (p *configParser) settings(f *file, config *Config) error {
	if len(f.Settings) == 0 {
		return p.fail("settings", "", "", ErrNoSettings)
	}
	var err error
	if config.document, err = settings.ParseJSON(f.Settings); err != nil {
		return p.fail("settings", "", "", err)
	}
	if config.Settings, err = settings.Decode(config.document); err != nil {
		return p.settingsError(err)
	}
	if err = config.Settings.ValidateNames(); err != nil {
		return p.settingsError(err)
	}
	return nil
}

// settingsError returns a *ConfigError with the path and the value of a *settings.Error.
func (p *configParser) settingsError(err error) error {
	var setting *settings.Error
	if !errors.As(err, &setting) {
		return p.fail("settings", "", "", err)
	}
	return p.fail("settings."+setting.Path, setting.Value, setting.Allowed, err)
}
