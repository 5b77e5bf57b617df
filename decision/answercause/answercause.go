// Package answercause names why a balancer itself gave a request its final answer, in place of a server. Operators read
// the names in the statistics. It decides nothing and has no state.
package answercause

// Cause is why a request got its final answer from the balancer.
type Cause uint8

// What no server could take in the request's time. The request was held until then.
const (
	Unknown         Cause = iota // a caller that names none
	NoReadyServer                // no listed server was Ready that the class's retry policy allowed
	NoCapacity                   // servers were Ready, and all were at their limits, paused or warming up
	SetupLimit                   // the concurrency limit of set-ups was reached
	ListUnconfirmed              // discovery had not answered since the start
)

// Why no further attempt was started.
const (
	Shed              Cause = iota + ListUnconfirmed + 1 // recent set-ups failed: a part of new ones is shed
	AttemptTimedOut                                      // its time was up with an attempt under way, or just after one
	AttemptsUsed                                         // Settings.MaxAttempts were made
	RetryForbidden                                       // it may have been executed, and its class allows no repeat
	RetryBudget                                          // the retry budget was used up
	FailuresShared                                       // all servers fail alike: a retry would only add load
	PinnedUnavailable                                    // the one server that may serve it could not
	ErrorConfirmed                                       // two servers answered an error
)

// Why the balancer did not place it at all.
const (
	DescriptorsShort Cause = iota + ErrorConfirmed + 1 // the process is near its limit of descriptors
	ShuttingDown                                       // the process drains
	TooManyHeld                                        // limits.held requests are held already
	SlotsUsed                                          // no slot for a request is free
	Malformed                                          // the first line can't be read, or came in no time
	UnknownClass                                       // the settings have no such class
	DuplicateID                                        // a request of this id was seen
	ClientTooEarly                                     // the client sent more before its answer
	ReattachFailed                                     // the server that it names was not listed in time, or refused
	ChannelLimit                                       // its connection opens more channels than allowed
	Overdue                                            // no decision was made in time: a defect
	causeCount
)

// Count is the number of causes: each is less.
const Count = int(causeCount)

var names = [Count]string{
	Unknown:           "unknown",
	NoReadyServer:     "no_ready_server",
	NoCapacity:        "no_capacity",
	SetupLimit:        "setup_limit",
	ListUnconfirmed:   "list_unconfirmed",
	Shed:              "shed",
	AttemptTimedOut:   "attempt_timed_out",
	AttemptsUsed:      "attempts_used",
	RetryForbidden:    "retry_forbidden",
	RetryBudget:       "retry_budget",
	FailuresShared:    "failures_shared",
	PinnedUnavailable: "pinned_unavailable",
	ErrorConfirmed:    "error_confirmed",
	DescriptorsShort:  "descriptors_short",
	ShuttingDown:      "shutting_down",
	TooManyHeld:       "too_many_held",
	SlotsUsed:         "slots_used",
	Malformed:         "malformed",
	UnknownClass:      "unknown_class",
	DuplicateID:       "duplicate_id",
	ClientTooEarly:    "client_too_early",
	ReattachFailed:    "reattach_failed",
	ChannelLimit:      "channel_limit",
	Overdue:           "overdue",
}

// ClientFault reports whether the client did not keep to the protocol.
func (c Cause) ClientFault() bool {
	return c == Malformed || c == UnknownClass || c == DuplicateID || c == ClientTooEarly
}

// String is the cause's name in the statistics.
func (c Cause) String() string {
	if int(c) >= Count {
		c = Unknown
	}
	return names[c]
}
