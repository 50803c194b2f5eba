package settings

import (
	"slices"

	"salttrack/balance"
)

// Default values of optional settings.
const (
	defaultConnectTimeout  balance.Millis = 250
	defaultKeepAlive       balance.Millis = 15000
	defaultOverQuotaWeight                = 1.0
)

// Decode decodes and validates the settings of a document.
// The error is an *Error for the first setting that is missing or invalid.
func Decode(document *Document) (Settings, error) {
	r := &reader{document: document}
	var s Settings
	decodeInstance(r, &s)
	decodeSlowStart(r, &s)
	decodeAttempts(r, &s)
	decodeConnections(r, &s)
	decodeZone(r, &s)
	decodeRetryAfter(r, &s)
	decodeClasses(r, &s)
	decodeTenants(r, &s)
	if r.err != nil {
		return Settings{}, r.err
	}
	if err := s.validate(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func decodeInstance(r *reader, s *Settings) {
	s.Instance = r.integer(instancePath)
	s.Replicas = r.integer(replicasPath)
	s.Tier = int(r.optionalNumber(tierPath, 0))
	s.TierCount = max(1, len(r.list(tiersPath)))
	s.OverQuotaWeight = r.optionalNumber(overQuotaWeightPath, defaultOverQuotaWeight)
	s.PollEndpoints = enum(r, discoveryPath, pollEndpointsByValue)
	s.Granularity = r.number(granularityPath)
}

func decodeSlowStart(r *reader, s *Settings) {
	s.SlowStartCapacity = r.number(slowStartCapacityPath)
	s.SlowStartDuration = r.number(slowStartDurationPath)
	s.OverloadMultiple = r.number(overloadMultiplePath)
	s.OverloadDuration = r.number(overloadDurationPath)
}

func decodeAttempts(r *reader, s *Settings) {
	s.MaxAttempts = r.integer(maxAttemptsPath)
	s.CanCancel = r.boolean(canCancelPath)
	s.Hedging = r.boolean(hedgingPath)
}

func decodeConnections(r *reader, s *Settings) {
	s.InFlightColumn = slices.Index(r.list(loadReportPath), inFlightColumnName)
	s.ConnectTimeout = r.optionalNumber(connectTimeoutPath, defaultConnectTimeout)
	s.KeepAlive = r.optionalNumber(keepAlivePath, defaultKeepAlive)
}

// decodeZone decodes the zone of the instance, which is given by its name or by its number.
func decodeZone(r *reader, s *Settings) {
	s.ZoneNames = r.list(zoneNamesPath)
	zone := slices.Index(s.ZoneNames, r.required(zonePath).text)
	if zone < 0 {
		zone = r.integer(zonePath)
	}
	s.Zone = uint16(zone)
}

// decodeRetryAfter decodes MaxRetryAfter, or leaves it at 0, which disables Retry-After, if the settings disable it.
func decodeRetryAfter(r *reader, s *Settings) {
	if r.boolean(retryAfterPath) {
		s.MaxRetryAfter = r.number(maxRetryAfterPath)
	}
}

func decodeClasses(r *reader, s *Settings) {
	for i := range r.integer(countPath(classesPath)) {
		s.Classes = append(s.Classes, decodeClass(r, i))
		s.ClassNames = append(s.ClassNames, r.document.values[classPath(i, classNameName)].text)
		if r.err != nil { // stops at the first missing class, since the count may be far larger than the number of classes
			return
		}
	}
}

func decodeClass(r *reader, index int) balance.Class {
	path := func(name string) string { return classPath(index, name) }
	class := balance.Class{
		LatencyObjective: r.number(path(latencyObjectiveName)),
		Deadline:         r.number(path(deadlineName)),
		PriorityWeight:   r.number(path(priorityWeightName)),
		LateWeight:       r.optionalNumber(path(lateWeightName), 0),
		Streaming:        r.document.has(path(streamingName)) && r.boolean(path(streamingName)),
		Idempotency:      enum(r, path(idempotencyName), idempotencyByValue),
	}
	if class.Idempotency == balance.WithIdempotencyKey {
		class.DeduplicationWindow = r.number(path(deduplicationWindowName))
		class.DeduplicationScope = enum(r, path(deduplicationScopeName), deduplicationScopeByValue)
	}
	return class
}

func decodeTenants(r *reader, s *Settings) {
	if !r.document.has(countPath(tenantsPath)) {
		return
	}
	for i := range r.integer(countPath(tenantsPath)) {
		quota := r.optionalNumber(itemPath(tenantsPath, i, quotaName), 0)
		s.TenantQuota = append(s.TenantQuota, quota)
	}
}
