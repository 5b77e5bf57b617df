package simulation

// Alternatives are ways that were considered and not chosen, by name, played on the same seeds, so that charts show
// what each buys. They know all members from the start, and are as plain as the idea allows.
func Alternatives() map[string]Builder {
	return map[string]Builder{
		"heartbeats": func(c *Cluster, i, _ int) Detector { return newHeartbeatDetector(c, i, fixedTimeout) },
		"phi":        func(c *Cluster, i, _ int) Detector { return newHeartbeatDetector(c, i, phiAccrual) },
		"swim":       newRandomSwim,
	}
}

// Bytes of a message without updates, and of an update, about as the balancer's datagrams have them.
const (
	baseMessageSize = 110
	updateSize      = 20
)
