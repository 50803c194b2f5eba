package node

import (
	"errors"
	"fmt"
)

// The reasons of a ConfigError that come from no other package.
var (
	ErrNoConfigFile      = errors.New("BALANCER_CONFIG is not set")
	ErrNoSettings        = errors.New("settings are missing")
	ErrLimitsTooLow      = fmt.Errorf("limits: at least %d sockets, %d MB and some of a core are needed", minSockets, minMemoryMB)
	ErrMissingKey        = errors.New("is missing, which the running one has")
	ErrInvalidDescriptor = fmt.Errorf("is not a descriptor from %d on", minInheritedFD)
)

// ConfigError is a configuration that a balancer can't work with.
type ConfigError struct {
	File    string // the configuration file, "" if the text was not read from a file
	Path    string // of the value in the file, or the name of an environment variable; "" if the text is no JSON
	Value   string // as it was read, "" if it is missing or an object
	Allowed string // the form or range of allowed values, "" if Err says so
	Err     error  // what is wrong, with the path and the value where a reader needs them
}

// Error names the file and what is wrong.
func (e *ConfigError) Error() string {
	if e.File == "" {
		return e.Err.Error()
	}
	return fmt.Sprintf("configuration %s: %v", e.File, e.Err)
}

// Unwrap returns what is wrong, such as a *settings.Error.
func (e *ConfigError) Unwrap() error { return e.Err }
