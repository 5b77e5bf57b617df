package proxy

import (
	"github.com/sirupsen/logrus"

	"spurspread/decision/monotime"
	"spurspread/internal/logging"
)

// statsInterval is how often statistics are logged.
const statsInterval = 5 * monotime.Second

// counters count since the process started.
type counters struct {
	accepted        int // valid first lines, those of rejected requests included
	established     int // connections that were established
	rejected        int // requests that were rejected
	failed          int // requests that failed
	moved           int // connections that were moved
	silent          int // connections given up because their servers sent nothing back
	protocolErrors  int // answers and messages that the protocol does not have
	evicted         int // idle connections closed for want of descriptors
	upstreamsFailed int // multiplexed upstream connections that broke or could not be opened
	sharedFailures  int // attempts that ended by a failure which had been counted for another attempt
	transferredOut  int // connections transferred to the successor
	transferredIn   int // connections transferred from an older process
	unserved        unservedCounters
}

// logStats logs the statistics, again and again.
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
		logging.Unresponsive:   p.stats.silent,
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
	fields[logging.MuxClients] = len(p.listener.muxed)
	fields[logging.MuxUpstreams] = connections
	fields[logging.UpstreamChannels] = channels
	fields[logging.ReceiveWindowBytes] = p.buffers.windows.Committed()
	fields[logging.QueuedBytes] = p.queuedBytes()
	fields[logging.MuxUpstreamsFailed] = p.stats.upstreamsFailed
	fields[logging.CorrelatedFailures] = p.stats.sharedFailures
}

// queuedBytes is how many bytes wait for clients and servers to read them.
func (p *Proxy) queuedBytes() (bytes int) {
	for r := range p.requests.all {
		bytes += r.downstream.Pending() + len(r.partial.held)
		if r.attempt != nil && r.attempt.upstream != nil {
			bytes += r.attempt.upstream.Pending()
		}
	}
	return bytes
}
