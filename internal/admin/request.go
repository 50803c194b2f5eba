package admin

import (
	"net/url"
	"strings"
)

// Elements of the paths /control/ready, /control/upstreams/NAME/offline and /control/upstreams/NAME/online.
const (
	pathRoot      = "control"
	pathReady     = "ready"
	pathUpstreams = "upstreams"
	pathOffline   = "offline"
	pathOnline    = "online"
)

// operation is the operation that a request asks for.
type operation uint8

const (
	checkReadiness operation = iota
	disableUpstream
	enableUpstream
)

// request is a parsed request.
type request struct {
	operation operation
	upstream  string // name of the upstream, "" for checkReadiness
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

// parseOverride parses a request to disable or enable an upstream, whose name is escaped in the path.
func parseOverride(o operation, method, escapedName, pathElement string) (request, *HTTPError) {
	if method != "POST" {
		return request{}, overrideNeedsPOST(pathElement)
	}
	name, err := url.PathUnescape(escapedName)
	if err != nil || name == "" {
		return request{}, errMalformedName
	}
	return request{operation: o, upstream: name}, nil
}

// check returns the error of a request that the balancer can't execute in its present state, nil if it can.
func (s *Server) check(r request) *HTTPError {
	switch {
	case r.operation == checkReadiness && !s.Balancer.Ready():
		return errNotReady
	case r.operation != checkReadiness && !s.Balancer.KnowsUpstream(r.upstream):
		return errUnknownUpstream
	}
	return nil
}
