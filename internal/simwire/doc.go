// Package simwire is the codec of the protocol between the simulator and a program that hosts balancers for it. The
// simulator sends batches of event records; the host answers each batch with one reply of action records. All numbers
// are little-endian. Data without a fixed length is in a batch's tail, to which records refer by offset and count.
//
// A Reader reads batches; Batch.Record decodes a record into an event of package decision, or into something that the
// host handles itself, such as a server list. Reply encodes the actions. The package must not make decisions, and must
// not depend on the hosted balancers.
package simwire
