// Package simwire is the codec of the simulator's wire. The simulator hosts balancers: it sends batches of event
// records, and reads one reply with action records for each. All numbers are little-endian; a batch's tail holds what
// has no fixed length, which records refer to by offset and count.
//
// A Reader reads batches; Batch.Record decodes a record into an event of package decision, or into something that the
// host itself handles, such as a server list. Reply encodes the actions. The package must not decide anything, and
// must not know the hosted balancers.
package simwire
