// Package peer is one member of a fleet on the network: it carries the messages of package membership, and with zones
// those of package zonedirectory, in datagrams on the program's event loop. It owns sockets, timers, seals and the
// addresses of members, and bounds what a flood of datagrams costs. It must not decide what a message means or who is
// in the fleet: it hands each datagram that is authentic, meant for this process and new to these packages, and sends
// what they return.
//
// Start joins the fleet; the Host is used on its event loop only.
package peer
