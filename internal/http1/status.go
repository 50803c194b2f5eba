package http1

// Request methods that salttrack supports.
const (
	MethodGet  = "GET"
	MethodPost = "POST"
)

// Status codes that salttrack sends or evaluates.
const (
	StatusOK                   = 200
	StatusBadRequest           = 400
	StatusNotFound             = 404
	StatusMethodNotAllowed     = 405
	StatusRequestTimeout       = 408
	StatusConflict             = 409
	StatusContentTooLarge      = 413
	StatusExpectationFailed    = 417
	StatusHeaderFieldsTooLarge = 431
	StatusInternalServerError  = 500
	StatusNotImplemented       = 501
	StatusBadGateway           = 502
	StatusServiceUnavailable   = 503
	StatusVersionNotSupported  = 505
)

// reasonPhrases are the reason phrases in status lines. The phrase of a status code that is not listed is empty.
var reasonPhrases = map[int]string{
	StatusOK:                   "OK",
	StatusBadRequest:           "Bad Request",
	StatusNotFound:             "Not Found",
	StatusMethodNotAllowed:     "Method Not Allowed",
	StatusRequestTimeout:       "Request Timeout",
	StatusConflict:             "Conflict",
	StatusContentTooLarge:      "Content Too Large",
	StatusExpectationFailed:    "Expectation Failed",
	StatusHeaderFieldsTooLarge: "Request Header Fields Too Large",
	StatusInternalServerError:  "Internal Server Error",
	StatusNotImplemented:       "Not Implemented",
	StatusBadGateway:           "Bad Gateway",
	StatusServiceUnavailable:   "Service Unavailable",
	StatusVersionNotSupported:  "HTTP Version Not Supported",
}
