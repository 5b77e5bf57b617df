// Package outcome names the ways in which an attempt or a health probe can end. It is a leaf: it imports nothing of
// this module, so that policies can be given outcomes without importing the core that determines them.
package outcome

// Status is how an attempt or a health probe ended.
type Status uint8

// The statuses. Only after ServerFull, ConnectFailed and Inconclusive is it certain that the request was not executed.
const (
	OK            Status = iota // the connection was established, or an established one was closed in order
	ErrorResponse               // the server answered with an error
	ServerFull                  // the server rejected the attempt without executing it
	TimedOut                    // no answer within the attempt's time-out
	ConnectFailed               // no connection could be opened; nothing was sent
	Reset                       // the connection was reset or lost
	Cancelled                   // the balancer or the client abandoned it
	Inconclusive                // it was never sent, so that it implies nothing about the server
)
