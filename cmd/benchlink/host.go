package main

import (
	"errors"
	"fmt"

	"salttrack/balance"
	"salttrack/internal/settings"
	"salttrack/internal/simwire"
)

// Causes of a *simwire.RecordError for a record that is well-formed but can't be handled.
var (
	errUnknownInstance = errors.New("unknown instance")
	errUnknownOutcome  = errors.New("unknown outcome")
)

// host runs the balancer instances of this process. The instances share only the endpoint lists.
// The simulator numbers these for the whole process, not for each instance.
type host struct {
	instances map[simwire.InstanceID]instance
	snapshots [simwire.MaxEndpointLists][]simwire.Endpoint // indexed by list number
	endpoints []balance.Endpoint                           // buffer that is reused for each endpoint update
}

// instance is a balancer instance that is running.
type instance struct {
	*balance.Balancer
	inFlightColumn int // column of a load report with the requests in flight; -1 if there is none
}

func newHost() *host {
	return &host{instances: map[simwire.InstanceID]instance{}}
}

// serve handles the events of a batch in order and adds the resulting actions to the reply.
// The error is a *simwire.RecordError.
func (h *host) serve(batch *simwire.Batch, reply *simwire.Reply) error {
	for i := range batch.Len() {
		id, event, err := batch.Event(i)
		if err != nil {
			return err
		}
		if err := h.handle(id, event, batch.Clock, reply); err != nil {
			return &simwire.RecordError{Batch: batch.Number, Record: i, Err: err}
		}
	}
	return nil
}

// handle handles one event. It starts and removes instances, stores endpoint lists, and delivers all other events to
// their instance. After a start it calls deliver too, which adds the first actions of the new instance to the reply.
func (h *host) handle(id simwire.InstanceID, event simwire.Event, now balance.Millis, reply *simwire.Reply) error {
	switch event := event.(type) {
	case *simwire.EndpointSnapshot:
		h.snapshots[event.ListNumber] = event.AppendEndpoints(h.snapshots[event.ListNumber][:0])
		return nil
	case *simwire.InstanceKilled:
		delete(h.instances, id)
		return nil
	case *simwire.InstanceStarted:
		started, err := startInstance(event, now)
		if err != nil {
			return err
		}
		h.instances[id] = started
	}
	target, ok := h.instances[id]
	if !ok {
		return fmt.Errorf("%w %d", errUnknownInstance, id)
	}
	return h.deliver(target, id, event, now, reply)
}

// startInstance returns a new instance with the settings of the event.
func startInstance(event *simwire.InstanceStarted, now balance.Millis) (instance, error) {
	document, err := settings.ParseLines(event.Settings)
	if err != nil {
		return instance{}, err
	}
	decoded, err := settings.Decode(document)
	if err != nil {
		return instance{}, err
	}
	balancer := balance.New(decoded.Config, event.Seed, now)
	return instance{Balancer: balancer, inFlightColumn: decoded.InFlightColumn}, nil
}

// deliver passes an event to an instance and adds the instance's actions to the reply. If package balance panics, the reply
// reports the text of the panic to the simulator.
func (h *host) deliver(target instance, id simwire.InstanceID, event simwire.Event, now balance.Millis,
	reply *simwire.Reply) error {
	defer func() {
		if p := recover(); p != nil {
			reply.ReportPanic(id, fmt.Sprint(p))
		}
	}()
	switch event := event.(type) {
	case *simwire.RequestArrived:
		arrived := requestArrived(event)
		target.OnRequest(now, &arrived)
	case *simwire.AttemptEnded:
		ended, err := attemptEnded(event, target.inFlightColumn)
		if err != nil {
			return err
		}
		target.OnAttemptEnded(now, &ended)
	case *simwire.ResponseStarted:
		started := responseStarted(event)
		target.OnResponseStarted(now, &started)
	case *simwire.ClientCancelled:
		target.OnRequestConcluded(now, balance.RequestID(event.Request))
	case *simwire.TimerFired:
		target.OnTimer(now, balance.TimerID(event.Timer))
	case *simwire.EndpointUpdate:
		h.updateEndpoints(target, event, now)
	}
	addActions(target.Balancer, id, reply)
	return nil
}

// updateEndpoints passes an endpoint update to an instance, with the endpoints of the snapshot that it refers to.
func (h *host) updateEndpoints(target instance, event *simwire.EndpointUpdate, now balance.Millis) {
	if event.Kind == simwire.WatchFailed {
		target.OnWatchFailed(now)
		return
	}
	h.endpoints = appendEndpoints(h.endpoints[:0], h.snapshots[event.ListNumber])
	update := balance.EndpointUpdate{Endpoints: h.endpoints, Snapshot: event.Kind != simwire.Delta}
	target.OnEndpointUpdate(now, update)
}
