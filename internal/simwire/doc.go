// Package simwire encodes and decodes the wire protocol of the simulator. It reads frames that contain a batch of
// events, and writes frames that contain a reply with actions. Its types have the names that package balance uses;
// comments on the codes give the protocol's names. All numbers are little-endian. All times are in milliseconds.
package simwire
