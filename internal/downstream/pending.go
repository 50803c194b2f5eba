package downstream

import (
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
)

// pendingResponse is the state of a connection whose request is complete and has no response yet.
// In this state bytes are read ahead, and the client's close and errors end the request.
type pendingResponse struct {
	conn     *conn
	exchange *exchange.Exchange // set in the states pendingResponse and requestStream; nil otherwise
}

func (p *pendingResponse) ready(events uint32) {
	if events&(loop.HangUp|loop.Failed) != 0 {
		p.conn.clientDisconnected()
		return
	}
	p.conn.reader.unread.readAhead()
}

// detachExchange removes an exchange that has ended, or is about to end, from the connection. It frees the request id, which
// may be used again unless the request may have run and must not run twice.
func (p *pendingResponse) detachExchange(x *exchange.Exchange) {
	p.exchange = nil
	delete(p.conn.server.openRequestIDs, x.Message.(*http1.Request).ID)
	p.conn.server.forgetUnexecutedID(x)
}

// requestID returns the id of the request that has no response yet, "" if there is none.
func (p *pendingResponse) requestID() string {
	if p.exchange == nil {
		return ""
	}
	return p.exchange.ClientRequestID
}
