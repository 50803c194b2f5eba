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
	minSockets     = 48 // with fewer, the reserved descriptors leave none for connections
	minMemoryMB    = 8
	minInheritedFD = 3 // descriptors 0, 1 and 2 are the standard streams
)

// Names of the environment variables that set configuration values.
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
	Admin           netip.AddrPort // address of the admin server; the zero value disables the server
	ListenFD        int            // descriptor of an inherited listening socket, used in place of Listen; -1 if none is inherited
	Seed            uint64         // seed of the random number generator
	Limits          Limits
	CachedEndpoints *discovery.Update // endpoint list in the configuration file, which may be outdated
	Settings        settings.Settings

	document *settings.Document         // settings in undecoded form, for the search for missing keys
	keys     map[string]json.RawMessage // values of the configuration file by top-level key
}

// Limits is the part of the machine's resources that a balancer may use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// LimitDescriptors lowers the number of descriptors to the limit that the kernel sets for the process.
// It does not go below minSockets.
func (l *Limits) LimitDescriptors(kernelLimit uint64) {
	if kernelLimit < uint64(l.Sockets) {
		l.Sockets = max(minSockets, int(kernelLimit))
	}
}

// Load reads the configuration at the start of the program. The variable BALANCER_CONFIG names the file.
// The other variables take precedence over the values of the file.
// The error is a *ConfigError, or wraps an *fs.PathError if the file can't be read.
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
			Allowed: fmt.Sprintf("an integer of %d or higher", minInheritedFD),
			Err:     fmt.Errorf("%s %q %w", listenFDVariable, text, ErrInvalidDescriptor),
		}
	}
	config.ListenFD = fd
	return config, nil
}

// Reload reads the configuration again while the program runs.
// It takes the address of discovery from the file and ignores BALANCER_DISCOVERY,
// since the file is newer than the environment of the process.
func Reload(env func(string) string) (*Config, error) {
	return readConfigFile(env, nameVariable, listenVariable, adminVariable)
}

// readConfigFile reads the configuration file. The given environment variables take precedence over its values.
func readConfigFile(env func(string) string, variables ...string) (*Config, error) {
	path := env(configFileVariable)
	if path == "" {
		return nil, &ConfigError{Path: configFileVariable, Err: ErrNoConfigFile}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	environmentValues := map[string]string{}
	for _, variable := range variables {
		environmentValues[variable] = env(variable)
	}
	parser := configParser{file: path}
	return parser.parse(text, environmentValues)
}

// Parse parses the text of a configuration. The keys of environmentValues are names of environment variables.
// An environment value that is not empty takes precedence over the value in the text. The error is a *ConfigError.
func Parse(text []byte, environmentValues map[string]string) (*Config, error) {
	parser := configParser{}
	return parser.parse(text, environmentValues)
}
