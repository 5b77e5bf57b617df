// Package fleetsize estimates the fraction of the servers' recent peak capacity that is present, and the number of
// clients that have yet to reconnect after their server ended the connection. While a part of the fleet is missing,
// those clients are admitted more slowly.
//
// It does not know servers, requests or clocks. The core passes the present capacity to Update several times a second,
// and charges each client that connects the price that ChargeReconnect returns. Times are monotime.Micros.
//
// Invariant: the number of connections with the higher price is at most the number of expected reconnects.
package fleetsize

import "spurspread/decision/monotime"

const (
	// reducedFraction is the fraction of the capacity that must be missing for the fleet to count as reduced. The
	// clients of the missing servers then add to the load that the remaining servers already have, faster than these
	// can accept them, so returning clients are admitted more slowly.
	reducedFraction = 0.07
	// reconnectPrice is the number of tokens that the connection of a returning client costs in a reduced fleet, where
	// others cost 1.
	reconnectPrice = 2.5
	// reconnectDecay is the fraction of the expected reconnects that is dropped per second.
	reconnectDecay = 0.1
	// peakMemory is the time, in seconds, after which a peak that is not reached again is forgotten.
	peakMemory = 60
)

// Estimate is the state of the fleet as this balancer sees it. Its zero value is not usable; see New.
type Estimate struct {
	peakSize           float64 // recent peak of the capacity, in the caller's unit
	presentFraction    float64 // present fraction of peakSize
	expectedReconnects float64 // number of clients that may reconnect
	updatedAt          monotime.Micros
}

// New returns the estimate for a complete fleet.
func New(now monotime.Micros) Estimate { return Estimate{presentFraction: 1, updatedAt: now} }

// Update records the capacity of all servers that are present now, in a unit that stays the same and in which a
// complete fleet has at least 1.
func (e *Estimate) Update(now monotime.Micros, size float64) {
	elapsed := float64(now-e.updatedAt) / float64(monotime.Second)
	e.expectedReconnects *= max(1-reconnectDecay*elapsed, 0)
	e.peakSize = max(size, e.peakSize*max(1-elapsed/peakMemory, 0))
	e.presentFraction = size / max(e.peakSize, 1)
	e.updatedAt = now
}

// PresentFraction returns the fraction of the recent peak capacity that is present, 0 to 1.
func (e *Estimate) PresentFraction() float64 { return e.presentFraction }

// Reduced reports whether a part of the fleet is missing: more than reducedFraction of the recent peak.
func (e *Estimate) Reduced() bool { return e.presentFraction < 1-reducedFraction }

// ExpectReconnect counts a client that may reconnect because a server ended its connection.
func (e *Estimate) ExpectReconnect() { e.expectedReconnects++ }

// ChargeReconnect returns the price of the connection of a client that connects now, in tokens of a warm server's
// bucket (the core's admission cost). It is 1 unless the fleet is reduced and reconnects are expected. Then it is
// reconnectPrice, and the number of expected reconnects falls by one. The higher price admits returning clients more
// slowly, because the remaining servers of a reduced fleet get them in addition to the load that they already have.
func (e *Estimate) ChargeReconnect() float64 {
	if !e.Reduced() || e.expectedReconnects < 1 {
		return 1
	}
	e.expectedReconnects--
	return reconnectPrice
}
