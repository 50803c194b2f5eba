package node

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"salttrack/internal/discovery"
	"salttrack/internal/settings"
)

const (
	minSockets     = 48 // fewer leave no descriptors for connections beside the reserved ones
	minMemoryMB    = 8
	minInheritedFD = 3 // the lower ones are the standard streams
)

// The environment variables of the configuration.
const (
	configFileVariable = "BALANCER_CONFIG"
	nameVariable       = "BALANCER_NAME"
	listenVariable     = "BALANCER_LISTEN"
	discoveryVariable  = "BALANCER_DISCOVERY"
	adminVariable      = "BALANCER_ADMIN"
	listenFDVariable   = "BALANCER_LISTEN_FD"
)

// Config is the configuration of a balancer.
type Config struct {
	Name            string
	Listen          netip.AddrPort
	Discovery       netip.AddrPort
	Admin           netip.AddrPort // of the admin server; invalid: there is none
	ListenFD        int            // an inherited listening socket, which the balancer serves on in place of Listen; -1: none
	Seed            uint64         // of the random numbers
	Limits          Limits
	CachedEndpoints *discovery.Update // the endpoint list as it was known last, which may be outdated
	Settings        settings.Settings

	document *settings.Document         // the settings before they were decoded
	keys     map[string]json.RawMessage // the values of the file, by top-level key
}

// Limits is what a balancer may use of its machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// LimitDescriptors lowers the number of descriptors to what the kernel allows the process.
func (l *Limits) LimitDescriptors(kernelLimit uint64) {
	if kernelLimit < uint64(l.Sockets) {
		l.Sockets = max(minSockets, int(kernelLimit))
	}
}

// Load reads the configuration at the start of the program, from the file that the environment names. Other variables
// of the environment take precedence over the file. The error is a *ConfigError, or an *fs.PathError if the file can't
// be read.
func Load(env func(string) string) (*Config, error) {
	config, err := readConfigFile(env, nameVariable, listenVariable, discoveryVariable, adminVariable)
	if err != nil {
		return nil, err
	}
	text := env(listenFDVariable)
	if text == "" {
		return config, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < minInheritedFD {
		return nil, &ConfigError{
			Path:    listenFDVariable,
			Value:   text,
			Allowed: fmt.Sprintf("from %d on", minInheritedFD),
			Err:     fmt.Errorf("%s %q %w", listenFDVariable, text, ErrInvalidDescriptor),
		}
	}
	config.ListenFD = fd
	return config, nil
}

// Reload reads the configuration again while the program runs. The file is newer than the environment, so the address
// of discovery is that of the file.
func Reload(env func(string) string) (*Config, error) {
	return readConfigFile(env, nameVariable, listenVariable, adminVariable)
}

// readConfigFile reads the configuration. The given variables take precedence over the file.
func readConfigFile(env func(string) string, variables ...string) (*Config, error) {
	path := env(configFileVariable)
	if path == "" {
		return nil, &ConfigError{Path: configFileVariable, Err: ErrNoConfigFile}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	overrides := map[string]string{}
	for _, variable := range variables {
		overrides[variable] = env(variable)
	}
	parser := configParser{file: path}
	return parser.parse(text, overrides)
}

// Parse parses the text of a configuration. The overrides, by environment variable, take precedence where they are not
// empty. The error is a *ConfigError.
func Parse(text []byte, overrides map[string]string) (*Config, error) {
	parser := configParser{}
	return parser.parse(text, overrides)
}
