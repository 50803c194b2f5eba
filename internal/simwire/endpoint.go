package simwire

import "fmt"

// endpointSize is the size of an endpoint in the tail of a batch, in bytes.
const endpointSize = 22

// Endpoint is one upstream of an endpoint list.
type Endpoint struct {
	Upstream    uint32
	Zone        uint16
	MachineType uint8
	Cell        uint16
	State       EndpointState
	Size        float32 // without unit, for comparison with other upstreams
	StartedAt   float64 // ms; 0: long ago
}

// EndpointState is the state of an upstream in an endpoint list.
type EndpointState uint8

// The states.
const (
	EndpointRemoved EndpointState = iota
	EndpointReady
	EndpointDraining
)

// EndpointSnapshot is a numbered endpoint list, which later EndpointUpdates of any instance refer to. A new one replaces
// the one before of the same number.
type EndpointSnapshot struct {
	ListNumber uint32 // below MaxLists
	endpoints  []byte
}

func (e *EndpointSnapshot) decode(r record) (err error) {
	e.ListNumber = r.uint32(1)
	if e.ListNumber >= MaxEndpointLists {
		return fmt.Errorf("%w %d", ErrListNumber, e.ListNumber)
	}
	e.endpoints, err = r.content(5, endpointSize)
	return err
}

// AppendEndpoints appends the endpoints of the list to a slice.
func (e *EndpointSnapshot) AppendEndpoints(endpoints []Endpoint) []Endpoint {
	for rest := e.endpoints; len(rest) >= endpointSize; rest = rest[endpointSize:] {
		endpoints = append(endpoints, Endpoint{
			Upstream:    getUint32(rest, 0),
			Zone:        getUint16(rest, 4),
			MachineType: rest[6],
			Cell:        getUint16(rest, 7),
			State:       EndpointState(rest[9]),
			Size:        getFloat32(rest, 10),
			StartedAt:   getFloat64(rest, 14),
		})
	}
	return endpoints
}
