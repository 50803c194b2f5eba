package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strings"

	"salttrack/balance"
)

// wireUpdate is an update in the wire format. Only this file uses the field names of the wire format.
type wireUpdate struct {
	Revision uint64       `json:"revision"`
	Complete bool         `json:"complete"`
	Members  []wireMember `json:"members"`
}

// wireMember is an endpoint in the wire format.
type wireMember struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Cell      uint16  `json:"cell"`
	Phase     string  `json:"phase"`
	UpSinceMS float64 `json:"up_since_ms"`
}

// statesByPhase maps the phases of the wire format to states of package balance.
var statesByPhase = map[string]balance.EndpointState{
	"in_service":  balance.Ready,
	"terminating": balance.Draining,
	"terminated":  balance.Removed,
}

// Causes of a malformed update. Their texts are part of configuration errors.
var (
	errNoMembers       = errors.New(`"members" is missing or null`)
	errUnknownPhase    = errors.New("unknown phase")
	errMalformedMember = errors.New("id is empty, or up_since_ms is negative or infinite")
)

// jsonError is an error of the JSON decoder. In its text, the type names wireUpdate and wireMember are replaced by
// Update and Member, which operators know from configuration errors.
type jsonError struct{ cause error }

var jsonTypeNames = strings.NewReplacer("wireUpdate", "Update", "wireMember", "Member")

// Error returns the text of the decoder's error, with the type names replaced.
func (e *jsonError) Error() string { return jsonTypeNames.Replace(e.cause.Error()) }

// Unwrap returns the decoder's error.
func (e *jsonError) Unwrap() error { return e.cause }

// ParseUpdate decodes one message of the discovery service. If any part of the message is malformed, it returns no
// update and a *ProtocolError with the violation MalformedUpdate.
func ParseUpdate(message []byte) (*Update, error) {
	var wire wireUpdate
	if err := json.NewDecoder(bytes.NewReader(message)).Decode(&wire); err != nil {
		return nil, malformedUpdate("", &jsonError{err})
	}
	if wire.Members == nil {
		return nil, malformedUpdate("", errNoMembers)
	}
	update := &Update{
		Revision:  wire.Revision,
		Snapshot:  wire.Complete,
		Endpoints: make([]Endpoint, len(wire.Members)),
	}
	for i := range wire.Members {
		err := wire.Members[i].decode(&update.Endpoints[i])
		switch {
		case errors.Is(err, errMalformedMember):
			return nil, malformedUpdate(fmt.Sprintf("member %d", i), err)
		case err != nil:
			return nil, malformedUpdate(fmt.Sprintf("member %q", wire.Members[i].ID), err)
		}
	}
	return update, nil
}

func malformedUpdate(detail string, cause error) error {
	return &ProtocolError{Violation: MalformedUpdate, Detail: detail, Cause: cause}
}

// decode checks a member and stores it in an endpoint. A removed member needs no address.
func (m *wireMember) decode(endpoint *Endpoint) error {
	state, known := statesByPhase[m.Phase]
	if !known {
		return fmt.Errorf("%w %q, want in_service, terminating or terminated", errUnknownPhase, m.Phase)
	}
	address, err := netip.ParseAddrPort(m.HostPort)
	if err != nil && state != balance.Removed {
		return err
	}
	if m.ID == "" || m.UpSinceMS < 0 || math.IsInf(m.UpSinceMS, 0) {
		return errMalformedMember
	}
	*endpoint = Endpoint{
		Name:      m.ID,
		Address:   address,
		Zone:      m.Locality,
		Cell:      m.Cell,
		State:     state,
		StartedAt: m.UpSinceMS,
	}
	return nil
}
