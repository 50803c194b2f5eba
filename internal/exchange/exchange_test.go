package exchange

import (
	"testing"

	"salttrack/balance"
	"salttrack/internal/invariant"
)

// client is a connected client that records the responses sent to it.
type client struct{ responses []Response }

func (c *client) Connected(*Exchange) bool { return true }

func (c *client) Deadline(x *Exchange) balance.Millis { return x.RespondBy }

func (c *client) Respond(_ *Exchange, r Response) { c.responses = append(c.responses, r) }

// Only the first response of an exchange is sent to the client, and only the first end of an attempt counts.
func TestSingleResponse(t *testing.T) {
	c := &client{}
	x := New(c, nil)
	a := x.BeginAttempt(7, 1, 2)
	if !x.Respond(Response{Disposition: Failed}) || x.Respond(Response{Disposition: Served}) || x.Disposition() != Failed {
		t.Errorf("disposition %v, want %v", x.Disposition(), Failed)
	}
	if len(c.responses) != 1 {
		t.Errorf("%d responses, want 1", len(c.responses))
	}
	if x.Finished() || !x.EndAttempt(a, true) || x.EndAttempt(a, false) || !x.NeverRan() || !x.Finished() {
		t.Error("the exchange is not finished after the first end of its only attempt")
	}
	if unsent := x.AddUnsentAttempt(8); unsent.Number != 1 || !unsent.Ended || !x.Finished() {
		t.Errorf("unsent attempt %+v, finished %v; want attempt number 1 that has ended, in a finished exchange", unsent, x.Finished())
	}
}

func TestNoResponseToDisconnectedClient(t *testing.T) {
	c := &client{}
	x := New(c, nil)
	if !x.Respond(Response{Disposition: Abandoned}) || x.Respond(Response{Disposition: Served}) || len(c.responses) != 0 {
		t.Errorf("%d responses sent to a disconnected client, want none, and a second response that is refused", len(c.responses))
	}
}

func TestNoAttemptAfterResponse(t *testing.T) {
	x := New(&client{}, nil)
	x.Respond(Response{Disposition: Rejected})
	before := invariant.Violations()
	defer func() {
		if recover(); invariant.Violations() != before+1 {
			t.Error("an attempt that begins after the final response is not reported as an invariant violation")
		}
	}()
	x.BeginAttempt(1, 0, 1)
}
