package logging

// Names of log fields. A name has the same meaning in every message. Counters start at 0 when the process starts.
const (
	Listen    = "listen"    // address that clients connect to, or members send datagrams to
	Discovery = "discovery" // address of discovery
	Classes   = "classes"   // names of the request classes, in order, joined with commas
	File      = "file"      // path of a file that was read
	Count     = "count"     // servers in the list that the message is about

	Cause      = "cause"      // reason for which the balancer itself gave a final answer
	Suppressed = "suppressed" // number of lines with this message that were suppressed since the last one
)

// Fields about discovery: the state of the watch, and the age of the server list.
const (
	WatchState         = "watch"            // state of the watch: none, subscribing, established, renewing, retrying
	PreviousWatch      = "watch_before"     // state of the watch before the change
	Generation         = "generation"       // of the server list in use
	ListAge            = "list_age_ms"      // time since the last object from discovery; -1: none received yet
	WatchSilence       = "watch_silence_ms" // time since the last byte from discovery; -1: none received yet
	DiscoveryCalls     = "discovery_calls"  // counter: calls of discovery
	DiscoveryFailures  = "discovery_failed" // counter: failed calls, and watches that ended
	FullList           = "full"             // whether the update lists all servers
	ReadyServers       = "ready"            // number of servers in the update that are ready
	TerminatingServers = "terminating"      // number of servers in the update that are draining
	GoneServers        = "gone"             // number of servers in the update that were removed from the list
)

// Fields about the current connections.
const (
	Connections = "connections" // client connections with a request, waiting or established
	Sockets     = "sockets"     // open sockets: clients, servers and all others
	Aborted     = "aborted"     // client connections that were still open when the process stopped
)

// Counters of connections and requests.
const (
	Accepted       = "accepted"        // requests with a valid first line, rejected ones included
	Established    = "established"     // connections that were established with a server
	Rejected       = "rejected"        // requests that were rejected
	Failed         = "failed"          // requests that were answered with a failure
	Unserved       = "unserved_"       // prefix, followed by cause and class: one field for each count that is not 0
	Moved          = "moved"           // clients to which MOVE was sent
	Unresponsive   = "unresponsive"    // connections closed because the server did not reply in time
	ProtocolErrors = "protocol_errors" // replies of servers, and multiplexed connections, that violated the protocol
	Evicted        = "evicted"         // idle connections closed because file descriptors ran short
	TransferredOut = "transferred_out" // connections transferred to the successor in a hot restart
	TransferredIn  = "transferred_in"  // connections taken over from the previous process in a hot restart
)

// Counters of resume tokens, if these are turned on.
const (
	TokensIssued   = "tokens_issued"
	Resumed        = "resumed"          // streams that were resumed with a token
	TokensRejected = "tokens_rejected_" // prefix, followed by the reason: one field for each reason
)

// Fields about multiplexed connections, if channels are turned on.
const (
	MuxClients         = "mux_clients"          // multiplexed connections of clients
	MuxUpstreams       = "mux_upstreams"        // multiplexed connections to servers
	UpstreamChannels   = "upstream_channels"    // channels on MuxUpstreams
	ReceiveWindowBytes = "receive_window_bytes" // bytes that peers may send, plus buffered bytes from them
	QueuedBytes        = "queued_bytes"         // bytes that are buffered for clients and servers
	DiscardedBytes     = "discarded_bytes"      // bytes that channels discarded because they ended first
	MuxUpstreamsFailed = "mux_upstreams_failed" // counter: MuxUpstreams that broke or could not be opened
	CorrelatedFailures = "correlated_failures"  // counter: attempts, beyond the first, that such a failure ended
)

// Fields about the membership of balancers.
const (
	Member        = "member"      // a member's name
	State         = "state"       // current state of the member or zone
	PreviousState = "before"      // state of the member or zone before the change
	Incarnation   = "incarnation" // incarnation of the member to which the state belongs
	Region        = "region"      // a region's name
	Zone          = "zone"        // a zone's name
	LiveMembers   = "live"        // number of members of the zone that are known to be alive
)
