package serverload

import "math"

const (
	// minLoad is the smallest load, in cores, assumed for a connection, also if nothing is known of it.
	minLoad = 0.001

	// costDoublesAt is the utilization at which a connection costs twice as much as at an idle server. Loads fluctuate,
	// so messages begin to queue well before a server is full.
	costDoublesAt = 0.4
	// utilizationExponent is the power of the utilization with which the cost grows.
	utilizationExponent = 6.0
	// costExponent is the power of the cost with which the selection weight falls. A server that has the connection's
	// group bears a load of 1 where another bears 1 + GroupCost. At the third power it is therefore 64 times as likely
	// to be selected, which keeps a group together until its server is well utilized.
	costExponent = 3.0
	// crossZoneCostFactor is the factor by which crossing zones increases a connection's cost.
	crossZoneCostFactor = 3.0

	// minUtilizationLimit is the utilization up to which connections of a class without any priority are admitted. It
	// leaves room for load fluctuations and for the messages of other connections.
	minUtilizationLimit = 0.65
	// maxUtilizationLimit is the limit for the class with the highest priority. Between the two limits, connections of
	// that class are admitted while those of lower classes are rejected.
	maxUtilizationLimit = 0.8
	// maxAddedFraction bounds the utilization that one connection counts for, as a fraction of the utilization limit.
	maxAddedFraction = 0.5
)

// addedUtilization returns the utilization that one more connection of this load, in cores, adds. addsNoGroup says that
// the connection has no group, or one of which the server has connections already; otherwise the cost of its group is
// included.
func (g *Gauge) addedUtilization(model *LoadModel, warmup, load float64, addsNoGroup bool) float64 {
	added := max(load, minLoad)
	if !addsNoGroup {
		added += model.groupCost()
	}
	return added / (g.Size * warmup)
}

// HasCapacityFor reports whether the server can accept one more connection of this load, in cores. addsNoGroup is as
// for addedUtilization. priority is the priority weight of the connection's class divided by that of the highest class,
// 0 to 1; it places the utilization limit between minUtilizationLimit and maxUtilizationLimit. A connection counts as
// at most maxAddedFraction of the limit, so that a server below half of its limit accepts any connection: one that
// would fill a server by itself would find no better place after a rejection.
func (g *Gauge) HasCapacityFor(model *LoadModel, warmup, load float64, addsNoGroup bool, priority float64) bool {
	limit := minUtilizationLimit + (maxUtilizationLimit-minUtilizationLimit)*priority
	added := g.addedUtilization(model, warmup, load, addsNoGroup)
	return g.Utilization(model, warmup)+min(added, limit*maxAddedFraction) <= limit
}

// SelectionWeight returns how likely the server is selected for a connection of this load, in cores, relative to other
// servers. addsNoGroup is as for addedUtilization; crossZone says that the server is in another zone. The weight is
// above 0, proportional to the server's size, and falls with the connection's cost: the load that the connection adds
// to the server as a multiple of a usual load, increased at a well utilized server and across zones.
func (g *Gauge) SelectionWeight(model *LoadModel, warmup, load float64, addsNoGroup, crossZone bool) float64 {
	added := g.addedUtilization(model, warmup, load, addsNoGroup)
	usualLoad := max(load, model.meanLoad, minLoad)
	utilization := g.Utilization(model, warmup) + added
	cost := added * g.Size / usualLoad * (1 + math.Pow(utilization/costDoublesAt, utilizationExponent))
	if crossZone {
		cost *= crossZoneCostFactor
	}
	return g.Size * math.Pow(cost, -costExponent)
}
