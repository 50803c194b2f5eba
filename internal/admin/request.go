package admin

import (
	"net/url"
	"strings"
)

// The elements of the server's paths: /control/ready, and /control/upstreams/ID/offline or online.
const (
	pathRoot      = "control"
	pathReady     = "ready"
	pathUpstreams = "upstreams"
	pathOffline   = "offline"
	pathOnline    = "online"
)

// operation is what a request asks for.
type operation uint8

const (
	checkReadiness operation = iota
	disableUpstream
	enableUpstream
)

// request is a parsed request.
type request struct {
	operation operation
	upstream  string // the id, for disableUpstream and enableUpstream
}

// parseRequest parses the method and the target of a request.
func parseRequest(method, target string) (request, *HTTPError) {
	path, _, _ := strings.Cut(target, "?")
	elements := strings.Split(path, "/")[1:]
	if len(elements) == 0 || elements[0] != pathRoot {
		return request{}, errUnknownPath
	}
	switch elements = elements[1:]; {
	case len(elements) == 1 && elements[0] == pathReady:
		if method != "GET" {
			return request{}, errReadyNeedsGET
		}
		return request{operation: checkReadiness}, nil
	case len(elements) == 3 && elements[0] == pathUpstreams && elements[2] == pathOffline:
		return parseOverride(disableUpstream, method, elements[1], pathOffline)
	case len(elements) == 3 && elements[0] == pathUpstreams && elements[2] == pathOnline:
		return parseOverride(enableUpstream, method, elements[1], pathOnline)
	}
	return request{}, errUnknownPath
}

// parseOverride parses a request to disable or enable an upstream, whose id is escaped in the path.
func parseOverride(o operation, method, escapedID, verb string) (request, *HTTPError) {
	if method != "POST" {
		return request{}, overrideNeedsPOST(verb)
	}
	id, err := url.PathUnescape(escapedID)
	if err != nil || id == "" {
		return request{}, errMalformedID
	}
	return request{operation: o, upstream: id}, nil
}

// check returns the error of a request that the balancer, as it is now, can't carry out.
func (s *Server) check(r request) *HTTPError {
	switch {
	case r.operation == checkReadiness && !s.Balancer.Ready():
		return errNotReady
	case r.operation != checkReadiness && !s.Balancer.KnowsUpstream(r.upstream):
		return errUnknownUpstream
	}
	return nil
}
