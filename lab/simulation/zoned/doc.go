// Package zoned simulates a Fleet of several zones in virtual time, on a cluster of package simulation. It adds regions
// with delays between them, faults of a member, a rack, a zone or a region in either direction, and a checker that
// compares the members' views with the faults that were injected. As in internal/peer, each member has a
// membership.Fleet and a zonedirectory.Directory. The same seed produces the same events.
package zoned
