// Package logs has the log's one vocabulary of field names, and an output that never holds up its writer. It knows
// logrus, and nothing of what is logged.
package logging

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// The names of fields. A name means the same wherever it is used: operators' scripts read them.
const (
	Listen           = "listen"    // address where clients connect
	Discovery        = "discovery" // address of discovery
	Classes          = "classes"   // names of the request classes, in order
	File             = "file"      // a file that was read
	Site             = "site"      // the site file's name of the installation
	Server           = "target"    // an egress target, by its instance id
	Connections      = "standing"  // client connections held
	Sockets          = "sockets"   // descriptors of sockets held
	Aborted          = "left"      // client connections that a stop cut off
	Accepted         = "taken"     // first lines taken, since the start
	Established      = "up"        // connections that came to stand, since the start
	Rejected         = "shed"      // refusals, since the start
	Failed           = "failed"    // failures told to clients, since the start
	Moved            = "moved"     // MOVE said, since the start
	Unresponsive     = "silent"    // connections ended for bringing nothing back, since the start
	ProtocolErrors   = "odd"       // targets' answers that the protocol does not have, since the start
	Evicted          = "evicted"   // idle connections closed for want of descriptors, since the start
	TokensIssued     = "minted"    // resume tokens given, since the start
	Resumed          = "resumed"   // streams that continued with a token, since the start
	TokensRejected   = "stale_"    // with the reason behind it: tokens refused, since the start
	MuxClients       = "muxed"     // client connections with channels
	MuxUpstreams     = "trunks"    // connections with channels to targets
	UpstreamChannels = "hops"      // channels on them
	// bytes that peers may send on channels without asking, and what is kept of theirs
	ReceiveWindowBytes = "promised"
	QueuedBytes        = "kept"          // bytes that wait for clients and targets to take them
	MuxUpstreamsFailed = "trunks_failed" // trunks that broke or could not be opened, since the start
	TransferredOut     = "passed"        // standing connections given to the successor
	TransferredIn      = "adopted"       // standing connections taken over from an older process, since the start
	// outcomes that had the cause of another, and were no evidence, since the start
	CorrelatedFailures = "echoes"
	Member             = "member"      // a member of the fleet of balancers, by its name
	State              = "state"       // what it is held to be
	PreviousState      = "before"      // and was before
	Incarnation        = "incarnation" // under which it says so
	Region             = "region"      // a region of the fleet of balancers
	Zone               = "zone"        // a zone of it
	LiveMembers        = "live"        // how many members live there, as far as is known
	Count              = "count"       // how many of what the message speaks of
	Reason             = "reason"      // why, as one word
)

// Format is how lines are written.
type Format string

// The formats.
const (
	Text Format = "text"
	JSON Format = "json"
)

// New returns a logger that writes to out in the given format.
func New(out io.Writer, format Format) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	if format == JSON {
		log.SetFormatter(&logrus.JSONFormatter{
			TimestampFormat: time.RFC3339Nano,
			FieldMap: logrus.FieldMap{
				logrus.FieldKeyTime:  "time",
				logrus.FieldKeyMsg:   "msg",
				logrus.FieldKeyLevel: "level",
			},
		})
	}
	return log
}
