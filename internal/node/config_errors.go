package node

import (
	"errors"
	"fmt"
)

// Causes of a ConfigError that are specific to this package.
var (
	ErrNoConfigFile      = errors.New("BALANCER_CONFIG is not set")
	ErrNoSettings        = errors.New("settings are missing")
	ErrLimitsTooLow      = fmt.Errorf("limits: sockets has to be at least %d, memory_mb at least %d and cores above 0", minSockets, minMemoryMB)
	ErrMissingKey        = errors.New("is missing, but the running configuration has it")
	ErrInvalidDescriptor = fmt.Errorf("is not a file descriptor of %d or higher", minInheritedFD)
)

// ConfigError reports an invalid configuration.
type ConfigError struct {
	File    string // path of the configuration file, "" if the text was not read from a file
	Path    string // path of the invalid value, or name of an environment variable; "" if the text is not valid JSON
	Value   string // invalid value as it was read, "" if it is missing or Err describes it
	Allowed string // form or range of the allowed values, "" if Err states it
	Err     error  // cause, with the path and the value where a reader needs them
}

// Error returns the message of the cause, after the path of the configuration file if there is one.
func (e *ConfigError) Error() string {
	if e.File == "" {
		return e.Err.Error()
	}
	return fmt.Sprintf("configuration %s: %v", e.File, e.Err)
}

// Unwrap returns the cause, for example a *settings.Error.
func (e *ConfigError) Unwrap() error { return e.Err }
