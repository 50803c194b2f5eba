package downstream

import (
	"math"
	"strings"

	"salttrack/balance"
	"salttrack/internal/http1"
)

// maxRemainingSeconds is the longest remaining time in seconds that a request may have.
const maxRemainingSeconds = 3600

// Errors of well-formed requests that are not served.
var (
	errMethodNotSupported = &http1.Error{Status: http1.StatusMethodNotAllowed, Reason: "method not supported"}
	errMethodOfClass      = &http1.Error{Status: http1.StatusMethodNotAllowed, Reason: "method does not fit the class"}
	errUnknownClass       = &http1.Error{Status: http1.StatusBadRequest, Reason: "unknown class, or not that of the path"}
	errNoRequestID        = &http1.Error{Status: http1.StatusBadRequest, Reason: "no request id"}
	errRemainingTime      = &http1.Error{Status: http1.StatusBadRequest, Reason: "remaining time missing or out of range"}
	errUnexpectedBody     = &http1.Error{Status: http1.StatusBadRequest, Reason: "idempotent request with a body"}
	errIdempotencyKey     = &http1.Error{Status: http1.StatusBadRequest, Reason: "idempotency key missing or not allowed"}
	errDuplicateRequestID = &http1.Error{Status: http1.StatusConflict, Reason: "a request with this id is open"}
)

// validate checks whether a request is valid, and returns its class number or an error.
// An upstream would reject an invalid request as well, but at the cost of an attempt and possibly of the connection to it.
func (s *Server) validate(r *http1.Request, path string) (uint8, *http1.Error) {
	if r.Method != http1.MethodGet && r.Method != http1.MethodPost {
		return 0, errMethodNotSupported
	}
	firstSegment, _, _ := strings.Cut(path[1:], "/")
	class, known := s.settings.Classes[r.Class]
	switch {
	case !known || firstSegment != r.Class:
		return 0, errUnknownClass
	case r.ID == "":
		return 0, errNoRequestID
	case math.IsNaN(r.RemainingSeconds) || r.RemainingSeconds < 0 || r.RemainingSeconds > maxRemainingSeconds:
		return 0, errRemainingTime
	}
	return class, s.validateIdempotency(r, s.settings.Idempotency[class])
}

// validateIdempotency checks whether the method, the body and the idempotency key of a request are allowed for a class
// with the given idempotency. It also checks that no other request with the same id is open.
func (s *Server) validateIdempotency(r *http1.Request, idempotency balance.Idempotency) *http1.Error {
	idempotent := idempotency == balance.Idempotent
	_, open := s.openRequestIDs[r.ID]
	switch {
	case idempotent != (r.Method == http1.MethodGet):
		return errMethodOfClass
	case idempotent && (len(r.Body) > 0 || r.Stream != nil):
		return errUnexpectedBody
	case (idempotency == balance.WithIdempotencyKey) != (r.IdempotencyKey != ""): // upstreams need the key to recognise retries
		return errIdempotencyKey
	case open: // an upstream could not tell the attempts of the two requests apart
		return errDuplicateRequestID
	}
	return nil
}
