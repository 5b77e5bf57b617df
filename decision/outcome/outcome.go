// Package outcome names how an attempt or a probe ended. It is a leaf, so that policies can be told of outcomes without
// knowing the core that tells them.
package outcome

// Status is how an attempt or a probe ended.
type Status uint8

// The statuses.
const (
	OK            Status = iota // the connection was established, or ended in the planned way
	ErrorResponse               // the server answered with an error
	ServerFull                  // the server turned the attempt away and has not run it
	TimedOut                    // no answer within the attempt's time-out
	ConnectFailed               // no connection came up; the attempt has not run
	Reset                       // the connection was reset or lost
	Cancelled                   // the balancer or the client gave it up
	Inconclusive                // it was never sent, which says nothing of the server
)
