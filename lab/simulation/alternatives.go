package simulation

// Alternatives returns the failure detectors that were considered and not chosen, by name. They run on the same seeds
// as the balancer's members, so that charts can compare them. Each is a minimal implementation of its algorithm that
// knows all members from the start.
func Alternatives() map[string]Builder {
	return map[string]Builder{
		"heartbeats": func(c *Cluster, i, _ int) Detector { return newHeartbeatDetector(c, i, fixedTimeout) },
		"phi":        func(c *Cluster, i, _ int) Detector { return newHeartbeatDetector(c, i, phiAccrual) },
		"swim":       newRandomSwim,
	}
}

// Sizes of a message without updates and of one update, in bytes. They approximate the balancer's datagrams.
const (
	baseMessageSize = 110
	updateSize      = 20
)
