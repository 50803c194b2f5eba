package driver

import (
	"slices"
	"testing"

	"salttrack/balance"
	"salttrack/internal/exchange"
)

// When an upstream is disabled, the driver calls CancelUnsent for it, and forwards no request to it until it is enabled
// again.
func TestDisable(t *testing.T) {
	f := newFixture(t, testConfig())
	ids := []balance.UpstreamID{1, 2, 3}
	for _, id := range ids {
		f.driver.Disable(id)
	}
	x := f.receive(idempotentClass, 500)
	if len(f.inFlight) != 0 || !slices.Equal(f.cancelUnsent, ids) || f.responses[x][0].Disposition != exchange.Rejected {
		t.Errorf("%d attempts sent, CancelUnsent called for upstreams %v, responses %v; want none sent, %v and a rejection", len(f.inFlight), f.cancelUnsent, f.responses[x], ids)
	}
	f.driver.Enable(2)
	if f.receive(idempotentClass, 500); len(f.inFlight) != 1 || f.inFlight[0].Upstream != 2 {
		t.Errorf("attempts in flight after upstream 2 was enabled: %v, want one at upstream 2", f.inFlight)
	}
}

// drainingUpdate returns an update that makes an upstream unready. The form "delta" marks it as draining, the form
// "snapshot" lists only the other upstreams.
func drainingUpdate(id balance.UpstreamID, form string) balance.EndpointUpdate {
	if form == "delta" {
		return balance.EndpointUpdate{Endpoints: []balance.Endpoint{{ID: id, State: balance.Draining}}}
	}
	update := balance.EndpointUpdate{Snapshot: true}
	for other := balance.UpstreamID(firstUpstream); other <= lastUpstream; other++ {
		if other != id {
			update.Endpoints = append(update.Endpoints, balance.Endpoint{ID: other, State: balance.Ready})
		}
	}
	return update
}

// An attempt that is waiting for a connection ends as not sent if its upstream starts to drain or is missing from a
// snapshot, because the connection could be established much later. The request is then forwarded to another upstream.
// This is not charged to the retry budget, since nothing was sent.
func TestDrainWhileConnecting(t *testing.T) {
	for _, form := range []string{"delta", "snapshot"} {
		f := newFixture(t, testConfig())
		x := f.receive(idempotentClass, 500)
		first := f.inFlight[0]
		f.onCancelUnsent = func() { f.end(first, balance.NotSent, "") }
		if !f.driver.Sendable(first) {
			t.Errorf("%s: the attempt is not sendable before the update", form)
		}
		f.driver.UpdateEndpoints(drainingUpdate(first.Upstream, form))
		if f.driver.Sendable(first) || !slices.Equal(f.cancelUnsent, []balance.UpstreamID{first.Upstream}) {
			t.Errorf("%s: CancelUnsent called for upstreams %v, want %d", form, f.cancelUnsent, first.Upstream)
		}
		if len(f.inFlight) != 1 || f.inFlight[0].Upstream == first.Upstream || len(f.responses[x]) != 0 {
			t.Fatalf("%s: %d attempts in flight, %d responses; want 1 attempt at another upstream and no response", form, len(f.inFlight), len(f.responses[x]))
		}
		f.end(f.inFlight[0], balance.OK, "ok")
		if f.disposition(x) != exchange.Served {
			t.Errorf("%s: responses %v, want one that is served", form, f.responses[x])
		}
	}
}
