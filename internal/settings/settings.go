// Package settings decodes the settings of a balancer instance. The simulator sends settings as path=value lines. A
// configuration file contains them as nested JSON. The paths are the same in both forms, and the same code decodes them.
package settings

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"salttrack/balance"
)

// maxClasses is the maximum number of classes. Class numbers are of type uint8.
const maxClasses = math.MaxUint8 + 1

// Descriptions of the allowed values of a numeric setting, for Error.Allowed.
const (
	allowedPositive    = "must be greater than 0"
	allowedNotNegative = "must be 0 or greater"
)

// Settings holds the configuration of package balance, and the settings that only the programs around it use.
type Settings struct {
	balance.Config
	ClassNames     []string       // indexed by class number; empty for a class without a name
	ZoneNames      []string       // indexed by zone number
	InFlightColumn int            // column of a load report with the requests in flight; -1 if there is none
	ConnectTimeout balance.Millis // time within which the connection of an attempt must be established
	KeepAlive      balance.Millis // time after which upstreams close an idle connection
}

// validate returns an *Error for the first setting whose value is invalid.
func (s *Settings) validate() error {
	if s.MaxAttempts < 1 {
		return &Error{Path: maxAttemptsPath, Value: strconv.Itoa(s.MaxAttempts), Allowed: "must be at least 1",
			Reason: ErrOutOfRange}
	}
	if len(s.Classes) == 0 || len(s.Classes) > maxClasses {
		return &Error{Path: classesPath, Value: strconv.Itoa(len(s.Classes)),
			Allowed: fmt.Sprintf("must have 1 to %d", maxClasses), Reason: ErrClassCount}
	}
	for i := range s.Classes {
		if err := s.validateClass(i); err != nil {
			return err
		}
	}
	return nil
}

// validateClass returns an *Error for the first setting of a class whose value is invalid.
func (s *Settings) validateClass(number int) error {
	class := &s.Classes[number]
	hasKey := class.Idempotency == balance.WithIdempotencyKey
	for _, check := range []struct {
		name    string
		value   float64
		valid   bool
		allowed string
	}{
		{latencyObjectiveName, class.LatencyObjective, class.LatencyObjective > 0, allowedPositive},
		{deadlineName, class.Deadline, class.Deadline > 0, allowedPositive},
		{priorityWeightName, class.PriorityWeight, class.PriorityWeight >= 0, allowedNotNegative},
		{deduplicationWindowName, class.DeduplicationWindow, !hasKey || class.DeduplicationWindow > 0, allowedPositive},
	} {
		if !check.valid {
			return &Error{Path: classPath(number, check.name), Value: fmt.Sprint(check.value), Allowed: check.allowed,
				Reason: ErrOutOfRange}
		}
	}
	name := s.ClassNames[number]
	if name != "" && slices.Index(s.ClassNames, name) < number {
		return &Error{Path: classPath(number, classNameName), Value: name, Reason: ErrDuplicateClass}
	}
	return nil
}

// ValidateNames returns an *Error for the first class without a name. Names are required for the HTTP server, whose
// clients select a class by its name. Simulated clients select a class by its number.
func (s *Settings) ValidateNames() error {
	for number, name := range s.ClassNames {
		if name == "" {
			return &Error{Path: classPath(number, classNameName), Reason: ErrMissing}
		}
	}
	return nil
}
