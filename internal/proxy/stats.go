package proxy

import (
	"github.com/sirupsen/logrus"

	"spurspread/decision/monotime"
	"spurspread/internal/logging"
)

// statsInterval is the interval at which statistics are logged.
const statsInterval = 5 * monotime.Second

// counters holds event counts since the process started.
type counters struct {
	accepted        int // valid first lines, including those of rejected requests
	established     int // connections that were established
	rejected        int // requests that were rejected (BUSY)
	failed          int // requests that failed (ERR)
	moved           int // connections that were moved
	unresponsive    int // connections given up because their servers were unresponsive
	protocolErrors  int // answers and messages that violate the protocol
	evicted         int // idle connections closed because descriptors were short
	upstreamsFailed int // multiplexed upstream connections that failed or could not be opened
	sharedFailures  int // attempts ended by a failure that was already counted for another attempt
	transferredOut  int // connections transferred to the successor
	transferredIn   int // connections transferred from the predecessor
	unserved        unservedCounters
}

// logStats logs the statistics and reschedules itself.
func (p *Proxy) logStats() {
	p.loop.After(statsInterval, p.logStats)
	fields := logrus.Fields{
		logging.Connections:    p.requests.len(),
		logging.Sockets:        p.loop.OpenSockets(),
		logging.Accepted:       p.stats.accepted,
		logging.Established:    p.stats.established,
		logging.Rejected:       p.stats.rejected,
		logging.Failed:         p.stats.failed,
		logging.Moved:          p.stats.moved,
		logging.Unresponsive:   p.stats.unresponsive,
		logging.ProtocolErrors: p.stats.protocolErrors,
		logging.Evicted:        p.stats.evicted,
		logging.TransferredIn:  p.stats.transferredIn,
	}
	p.stats.unserved.addTo(fields)
	p.servers.addStats(fields)
	p.resumption.addStats(fields)
	p.addChannelStats(fields)
	p.log.WithFields(fields).Info("statistics")
}

func (p *Proxy) addChannelStats(fields logrus.Fields) {
	if p.cfg.Channels == nil {
		return
	}
	connections, channels := p.upstreams.pool.Counts()
	fields[logging.MuxClients] = len(p.listener.muxConns)
	fields[logging.MuxUpstreams] = connections
	fields[logging.UpstreamChannels] = channels
	fields[logging.ReceiveWindowBytes] = p.buffers.windows.Committed()
	fields[logging.QueuedBytes] = p.queuedBytes()
	fields[logging.DiscardedBytes] = p.buffers.windows.Discarded()
	fields[logging.MuxUpstreamsFailed] = p.stats.upstreamsFailed
	fields[logging.CorrelatedFailures] = p.stats.sharedFailures
}

// queuedBytes returns the number of bytes buffered for clients and servers.
func (p *Proxy) queuedBytes() (bytes int) {
	for r := range p.requests.all {
		bytes += r.downstream.Pending() + len(r.partial.incomplete)
		if r.attempt != nil && r.attempt.upstream != nil {
			bytes += r.attempt.upstream.Pending()
		}
	}
	return bytes
}
