// Package answercause names the causes for which a balancer itself, in place of a server, gives a request its final
// answer. Operators read the names in the statistics. The package decides nothing and has no state.
package answercause

// Cause is the reason for which a request got its final answer from the balancer.
type Cause uint8

// Causes of answers to requests that were held until their deadline.
const (
	Unknown         Cause = iota // the caller named no cause
	NoReadyServer                // no listed server was Ready and allowed by the class's retry policy
	NoCapacity                   // all Ready servers were at their limits, paused or warming up
	SetupLimit                   // the concurrency limit of set-ups was reached
	ListUnconfirmed              // discovery had not answered since the start
)

// No further attempt was started.
const (
	Shed              Cause = iota + ListUnconfirmed + 1 // recent set-ups failed, so a part of the new ones is shed
	AttemptTimedOut                                      // its deadline passed after an attempt was started
	AttemptsUsed                                         // Settings.MaxAttempts were made
	RetryForbidden                                       // it may have been executed, and its class forbids a retry
	RetryBudget                                          // the retry budget was used up
	FailuresShared                                       // all servers fail alike, so a retry would only add load
	PinnedUnavailable                                    // the only server that may serve it was unavailable
	ErrorConfirmed                                       // two servers answered it with an error
)

// The balancer did not place the request at all.
const (
	DescriptorsShort Cause = iota + ErrorConfirmed + 1 // the process is near its limit of descriptors
	ShuttingDown                                       // the process drains
	TooManyHeld                                        // limits.most_held is reached; established requests count, too
	SlotsUsed                                          // the proxy's table of requests is full
	Malformed                                          // the first line can't be parsed, or did not come in time
	UnknownClass                                       // the settings have no such class
	DuplicateID                                        // a request with this id was seen before
	ClientTooEarly                                     // the client sent more data before it was answered
	ReattachFailed                                     // the server that it names was not listed in time or rejected it
	ChannelLimit                                       // its connection opened more channels than allowed
	MemoryShort                                        // channels' requests that wait hold too much memory
	Overdue                                            // no decision was made in time; this is a defect
	causeCount
)

// Count is the number of causes. All causes are less than it.
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
	MemoryShort:       "memory_short",
	Overdue:           "overdue",
}

// ClientFault reports whether the cause is a violation of the protocol by the client.
func (c Cause) ClientFault() bool {
	return c == Malformed || c == UnknownClass || c == DuplicateID || c == ClientTooEarly
}

// String returns the cause's name in the statistics; the name of Unknown for values beyond the causes.
func (c Cause) String() string {
	if int(c) >= Count {
		c = Unknown
	}
	return names[c]
}
