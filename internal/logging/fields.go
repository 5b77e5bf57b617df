package logging

// Names of fields. A name means the same in every message. Counters start at 0 with the process.
const (
	Listen    = "listen"    // address that clients connect to, or members send datagrams to
	Discovery = "discovery" // address of discovery
	Classes   = "classes"   // names of the request classes, in order, joined with commas
	File      = "file"      // path of a file that was read
	Count     = "count"     // servers in the list that the message is about

	Cause      = "cause"      // why the balancer itself gave a final answer
	Suppressed = "suppressed" // lines of this message that were left out since the last one
)

// Fields about discovery: how a watch stands, and how old the list is.
const (
	WatchState         = "watch"            // state of the watch: none, subscribing, established, renewing, retrying
	PreviousWatch      = "watch_before"     // state of the watch before the change
	Generation         = "generation"       // of the server list in use
	ListAge            = "list_age_ms"      // since discovery's last object; -1: none has come
	WatchSilence       = "watch_silence_ms" // since the last byte from discovery; -1: none has come
	DiscoveryCalls     = "discovery_calls"  // counter: calls of discovery
	DiscoveryFailures  = "discovery_failed" // counter: calls that failed, and watches that ended
	FullList           = "full"             // the update names all servers
	ReadyServers       = "ready"            // servers of the update that are ready
	TerminatingServers = "terminating"      // servers of the update that are draining
	GoneServers        = "gone"             // servers of the update that are not listed any more
)

// Fields about connections, as they are now.
const (
	Connections = "connections" // client connections with a request, waiting or established
	Sockets     = "sockets"     // open sockets, of clients, servers and all else
	Aborted     = "aborted"     // client connections that were still open when the process stopped
)

// Counters of connections and requests.
const (
	Accepted       = "accepted"        // requests with a valid first line, rejected ones included
	Established    = "established"     // connections that were established with a server
	Rejected       = "rejected"        // requests rejected
	Failed         = "failed"          // requests answered with a failure
	Unserved       = "unserved_"       // followed by cause and class, one field each that is not 0
	Moved          = "moved"           // clients that were sent MOVE
	Unresponsive   = "unresponsive"    // connections closed because the server sent nothing back in time
	ProtocolErrors = "protocol_errors" // replies of servers, or connections with channels, that broke the protocol
	Evicted        = "evicted"         // idle connections closed because descriptors ran short
	TransferredOut = "transferred_out" // connections given to the successor of a hot restart
	TransferredIn  = "transferred_in"  // connections taken over from the process before, by a hot restart
)

// Counters of resume tokens, where they are on.
const (
	TokensIssued   = "tokens_issued"
	Resumed        = "resumed"          // streams that continued with a token
	TokensRejected = "tokens_rejected_" // followed by the reason, one field each
)

// Fields about multiplexed connections, where channels are on.
const (
	MuxClients         = "mux_clients"          // client connections with channels
	MuxUpstreams       = "mux_upstreams"        // multiplexed connections to servers
	UpstreamChannels   = "upstream_channels"    // channels on these
	ReceiveWindowBytes = "receive_window_bytes" // bytes that peers may send, and theirs that are buffered
	QueuedBytes        = "queued_bytes"         // bytes that clients and servers have not taken yet
	MuxUpstreamsFailed = "mux_upstreams_failed" // counter: these connections that broke, or could not be opened
	CorrelatedFailures = "correlated_failures"  // counter: attempts that failed with such a connection
)

// Fields about the membership of balancers.
const (
	Member        = "member"      // a member's name
	State         = "state"       // of the member or zone, now
	PreviousState = "before"      // of the member or zone, before the change
	Incarnation   = "incarnation" // of the member, which the state belongs to
	Region        = "region"      // a region's name
	Zone          = "zone"        // a zone's name
	LiveMembers   = "live"        // members of the zone that are alive, as far as is known
)
