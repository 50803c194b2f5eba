package admin

import (
	"encoding/json"

	"salttrack/internal/http1"
)

// HTTP statuses of the server's responses. Package http1 gives the statuses for malformed requests.
const (
	statusOK                 = 200
	statusBadRequest         = 400
	statusNotFound           = 404
	statusMethodNotAllowed   = 405
	statusRequestTimeout     = 408
	statusServiceUnavailable = 503
)

// HTTPError is the reason why a request is rejected.
type HTTPError struct {
	Status  int    // HTTP status of the response
	Message string // field "error" in the body of the response
	Cause   error  // failure that caused the rejection, nil if the request itself is invalid
}

// Error returns the message that the client receives.
func (e *HTTPError) Error() string { return e.Message }

// Unwrap returns the cause.
func (e *HTTPError) Unwrap() error { return e.Cause }

// Errors of requests. Operators' scripts read the messages, so they must not change.
var (
	errUnknownPath = &HTTPError{Status: statusNotFound,
		Message: "no such call: GET /control/ready, POST /control/upstreams/ID/offline or online"}
	errReadyNeedsGET = &HTTPError{Status: statusMethodNotAllowed, Message: "ready is asked with GET"}
	errNotReady      = &HTTPError{Status: statusServiceUnavailable,
		Message: "not ready: the list of upstreams is not known yet, or the end has begun"}
	errMalformedName   = &HTTPError{Status: statusBadRequest, Message: "malformed id of an upstream"}
	errUnknownUpstream = &HTTPError{Status: statusNotFound, Message: "no upstream of this id was ever listed"}
	errRequestTimeout  = &HTTPError{Status: statusRequestTimeout, Message: "the call did not come whole in time"}
)

// overrideNeedsPOST returns the error for a request for an override whose method is not POST.
func overrideNeedsPOST(pathElement string) *HTTPError {
	return &HTTPError{Status: statusMethodNotAllowed, Message: pathElement + " is ordered with POST"}
}

// overrideFailed returns the error for an override that is not in force.
func overrideFailed(cause error) *HTTPError {
	return &HTTPError{Status: statusServiceUnavailable, Message: "the order is not carried out: " + cause.Error(), Cause: cause}
}

// responseBytes appends a response, which is the last one on its connection, to the bytes that have to be sent before it.
func responseBytes(unsent []byte, status int, body []byte) []byte {
	return http1.AppendResponse(unsent, http1.ResponseHead{Status: status, Close: true}, body)
}

// body returns the body of the response to a rejected request.
func (e *HTTPError) body() []byte {
	text, _ := json.Marshal(struct { // Marshal can't fail for a struct of a string and a bool
		Error string `json:"error"`
		OK    bool   `json:"ok"`
	}{Error: e.Message})
	return append(text, '\n')
}

// successBody returns the body of the response to a request that succeeded.
func successBody() []byte { return []byte(`{"ok":true}` + "\n") }
