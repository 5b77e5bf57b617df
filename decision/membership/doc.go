// Package membership implements failure detection and membership dissemination among the balancers of one zone. It
// maintains one member's view of the zone: which members are alive, suspected, dead or have left, under which
// incarnation and since when.
package membership
