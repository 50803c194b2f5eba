package settings

import (
	"fmt"

	"salttrack/balance"
)

// Paths of settings, as the simulator sends them and configuration files have them.
// The names of the constants are the usual terms, which often differ from the names in the paths.
// All other code of this package refers to the settings by the constants.
const (
	instancePath          = "me"
	replicasPath          = "replicas_of_me"
	tierPath              = "stage"
	tiersPath             = "tiers"
	zonePath              = "zone"
	zoneNamesPath         = "dcs"
	discoveryPath         = "discovery"
	granularityPath       = "granularity_ms"
	overQuotaWeightPath   = "over_share_worth"
	loadReportPath        = "report.columns"
	slowStartCapacityPath = "invariants.start_capacity"
	slowStartDurationPath = "invariants.cold_ms"
	overloadMultiplePath  = "invariants.fall_multiple"
	overloadDurationPath  = "invariants.fall_ms"
	maxAttemptsPath       = "limits.max_attempts"
	canCancelPath         = "limits.cancel"
	hedgingPath           = "limits.second_copies"
	retryAfterPath        = "limits.retry_after"
	maxRetryAfterPath     = "limits.max_retry_after_ms"
	connectTimeoutPath    = "limits.connect_timeout_ms"
	keepAlivePath         = "limits.keepalive_ms"
	classesPath           = "classes"
	tenantsPath           = "tenants"
)

// Names of class and tenant settings, which follow the path of the class or tenant.
const (
	classNameName           = "name"
	latencyObjectiveName    = "on_time_ms"
	deadlineName            = "deadline_ms"
	priorityWeightName      = "worth"
	lateWeightName          = "late_value"
	streamingName           = "streamed"
	idempotencyName         = "idempotency"
	deduplicationWindowName = "window_ms"
	deduplicationScopeName  = "group"

	quotaName = "quota_per_s"
)

// inFlightColumnName is the name of the column of a load report that has the number of requests in flight.
const inFlightColumnName = "inflight"

// Values of enumerated settings and what they are decoded to.
var (
	pollEndpointsByValue = map[string]bool{
		"push": false,
		"ask":  true,
	}
	idempotencyByValue = map[string]balance.Idempotency{
		"retryable": balance.Idempotent,
		"dedup":     balance.WithIdempotencyKey,
		"fragile":   balance.NonIdempotent,
	}
	deduplicationScopeByValue = map[string]balance.DeduplicationScope{
		"all":  balance.ScopeAll,
		"zone": balance.ScopeZone,
		"cell": balance.ScopeCell,
	}
)

// countPath returns the path that has the number of objects of a list.
func countPath(list string) string { return list + countSuffix }

const countSuffix = ".count"

// itemPath returns the path of a setting of the object at an index of a list.
func itemPath(list string, index int, name string) string {
	return fmt.Sprintf("%s.%d.%s", list, index, name)
}

// classPath returns the path of a setting of the class at an index.
func classPath(index int, name string) string { return itemPath(classesPath, index, name) }
