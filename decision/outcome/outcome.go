// Package outcome names the ways in which an attempt or a health probe can end. It imports nothing of this module, so
// that policies can use outcomes without importing the core that determines them.
package outcome

// Status is the outcome of an attempt or a health probe.
type Status uint8

// The statuses. Only ServerFull, ConnectFailed and Inconclusive guarantee that the request was not executed.
const (
	OK            Status = iota // the connection was established, or an established one was closed normally
	ErrorResponse               // the server answered with an error
	ServerFull                  // the server rejected the attempt without executing it
	TimedOut                    // no answer within the attempt's timeout
	ConnectFailed               // no connection could be opened; nothing was sent
	Reset                       // the connection was reset or lost
	Cancelled                   // the balancer or the client cancelled it
	Inconclusive                // it was never sent, and so says nothing about the server
)
