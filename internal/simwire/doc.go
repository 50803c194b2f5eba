// Package simwire encodes and decodes the wire protocol of the simulator. It reads frames that contain a batch of events,
// and writes frames that contain a reply with actions. The names of its types are the terms of this program; comments
// give the protocol's own names. All numbers are little-endian. All times are in milliseconds.
package simwire
