package main

import (
	"fmt"
	"slices"

	"salttrack/balance"
	"salttrack/internal/simwire"
)

// config turns settings as the wire gives them into those of the module, and finds the place of inflight
// among the values of a load report, -1 if it is not there.
func config(text []byte) (balance.Config, int, error) {
	c := simwire.ParseConf(text)
	out := balance.Config{
		Me:             c.Int("me"),
		Replicas:       c.Int("replicas_of_me"),
		Stage:          int(c.NumOr("stage", 0)),
		Tiers:          max(1, len(c.List("tiers"))),
		Zone:           uint16(c.Int("zone")),
		OverShareWorth: c.NumOr("over_share_worth", 1),
		Ask:            choice(c, "discovery", map[string]bool{"push": false, "ask": true}),
		Tick:           c.Num("granularity_ms"),
		StartCapacity:  c.Num("invariants.start_capacity"),
		ColdFor:        c.Num("invariants.cold_ms"),
		FallMultiple:   c.Num("invariants.fall_multiple"),
		FallFor:        c.Num("invariants.fall_ms"),
		MaxAttempts:    c.Int("limits.max_attempts"),
		CanCancel:      c.Bool("limits.cancel"),
		SecondCopies:   c.Bool("limits.second_copies"),
	}
	if c.Bool("limits.retry_after") {
		out.MaxRetryAfter = c.Num("limits.max_retry_after_ms")
	}
	for i := range c.Int("classes.count") {
		out.Classes = append(out.Classes, class(c, fmt.Sprintf("classes.%d.", i)))
		if c.Err() != nil {
			break
		}
	}
	if c.Has("tenants.count") {
		for i := range c.Int("tenants.count") {
			out.TenantQuota = append(out.TenantQuota, c.NumOr(fmt.Sprintf("tenants.%d.quota_per_s", i), 0))
		}
	}
	return out, slices.Index(c.List("report.columns"), "inflight"), c.Err()
}

func class(c *simwire.Conf, at string) balance.Class {
	out := balance.Class{
		Aim:      c.Num(at + "on_time_ms"),
		Deadline: c.Num(at + "deadline_ms"),
		Worth:    c.Num(at + "worth"),
		Late:     c.NumOr(at+"late_value", 0),
		Stream:   c.Has(at+"streamed") && c.Bool(at+"streamed"),
		Effect: choice(c, at+"idempotency", map[string]balance.Effect{
			"retryable": balance.Safe, "dedup": balance.Keyed, "fragile": balance.Unsafe}),
	}
	if out.Effect == balance.Keyed {
		out.Window = c.Num(at + "window_ms")
		out.Group = choice(c, at+"group", map[string]balance.Group{
			"all": balance.GroupAll, "zone": balance.GroupZone, "cell": balance.GroupCell})
	}
	return out
}

// choice reads a word that must be one of a few.
func choice[T any](c *simwire.Conf, path string, words map[string]T) T {
	v, ok := words[c.Str(path)]
	if !ok {
		c.Unknown(path)
	}
	return v
}
