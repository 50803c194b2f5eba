package downstream

import (
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
)

// pendingResponse is the state of a connection whose request is complete and has no response yet. Nothing is read meanwhile, so
// that the client's close is its only event.
type pendingResponse struct {
	conn     *conn
	exchange *exchange.Exchange // also set during an upload; nil in all other states
}

func (p *pendingResponse) ready(events uint32) {
	if events&(loop.HangUp|loop.Failed) != 0 {
		p.conn.clientDisconnected()
	}
}

// detachExchange removes the exchange from the connection: it has ended, or ends now.
func (p *pendingResponse) detachExchange(x *exchange.Exchange) {
	p.exchange = nil
	delete(p.conn.server.openRequestIDs, x.Message.(*http1.Request).ID)
}

// requestID is the id of the request that has no response yet, "" if there is none.
func (p *pendingResponse) requestID() string {
	if p.exchange == nil {
		return ""
	}
	return p.exchange.ClientRequestID
}
