// Package fleetsize estimates which part of the servers' capacity is present, compared with the largest that was
// present lately, and how many clients have yet to reconnect after their server ended the connection. While a part of
// the fleet is missing, those clients are admitted more slowly.
//
// It does not know servers, requests or clocks. The core passes the present capacity to Update several times a second,
// and charges each client that connects with ChargeReconnect's price. Times are monotime.Micros.
//
// Invariant: at most as many connections cost more than usual as were expected to return.
package fleetsize

import "spurspread/decision/monotime"

const (
	// reducedFraction is the part of the capacity that must be missing for the fleet to count as reduced. What returns
	// is more than the rest had connections then.
	reducedFraction = 0.07
	// reconnectPrice is how many tokens a returning client's connection costs in a reduced fleet, where others cost 1.
	reconnectPrice = 2.5
	// reconnectDecay is the part of the expected returns that is given up per second.
	reconnectDecay = 0.1
	// peakMemory is the time, in seconds, in which a peak that is not reached again is forgotten.
	peakMemory = 60
)

// Estimate is the state of the fleet as this balancer sees it. Its zero value is not usable; see New.
type Estimate struct {
	peakSize           float64 // the largest capacity lately, in the caller's unit
	presentFraction    float64 // of peakSize
	expectedReconnects float64 // clients that may reconnect
	updatedAt          monotime.Micros
}

// New returns the estimate for a fleet that is complete.
func New(now monotime.Micros) Estimate { return Estimate{presentFraction: 1, updatedAt: now} }

// Update takes the capacity of all servers that are present now, in any unit that stays the same.
func (e *Estimate) Update(now monotime.Micros, size float64) {
	elapsed := float64(now-e.updatedAt) / float64(monotime.Second)
	e.expectedReconnects *= max(1-reconnectDecay*elapsed, 0)
	e.peakSize = max(size, e.peakSize*max(1-elapsed/peakMemory, 0))
	e.presentFraction = size / max(e.peakSize, 1)
	e.updatedAt = now
}

// PresentFraction returns the part of the recent peak that is present, 0 to 1.
func (e *Estimate) PresentFraction() float64 { return e.presentFraction }

// Reduced decides whether a part of the fleet is missing: more than reducedFraction of the recent peak.
func (e *Estimate) Reduced() bool { return e.presentFraction < 1-reducedFraction }

// ExpectReconnect counts a client that may reconnect, as a server ended its connection.
func (e *Estimate) ExpectReconnect() { e.expectedReconnects++ }

// ChargeReconnect decides what the connection of a client that connects now costs, in tokens of a warm server's bucket:
// reconnectPrice while the fleet is reduced and returns are expected, of which it takes one, else 1. Servers that are
// left in a reduced fleet are loaded more than usual, and so take what returns more slowly.
func (e *Estimate) ChargeReconnect() float64 {
	if !e.Reduced() || e.expectedReconnects < 1 {
		return 1
	}
	e.expectedReconnects--
	return reconnectPrice
}
