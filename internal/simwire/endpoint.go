package simwire

import "fmt"

// endpointSize is the size in bytes of an encoded endpoint.
const endpointSize = 22

// Endpoint is one upstream of an endpoint list.
type Endpoint struct {
	Upstream    uint32
	Zone        uint16
	MachineType uint8
	Cell        uint16
	State       EndpointState
	Size        float32 // size relative to other upstreams, without a unit
	StartedAt   float64 // ms by the clock of the simulation; 0 if it started long ago
}

// EndpointState is the state of an upstream in an endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointRemoved EndpointState = iota
	EndpointReady
	EndpointDraining
)

// EndpointSnapshot is an endpoint list with a number. Later EndpointUpdate events, of any instance, refer to the list
// by its number. A new snapshot replaces the previous one with the same number.
type EndpointSnapshot struct {
	ListNumber uint32 // number of the list, less than MaxEndpointLists
	endpoints  []byte // encoded endpoints
}

func (e *EndpointSnapshot) decode(r record) (err error) {
	e.ListNumber = r.uint32(1)
	if e.ListNumber >= MaxEndpointLists {
		return fmt.Errorf("endpoint list number %d %w", e.ListNumber, ErrListNumber)
	}
	e.endpoints, err = r.content(5, endpointSize)
	return err
}

// AppendEndpoints appends the decoded endpoints of the list to a slice and returns the extended slice.
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
