package serverload

import "math"

const (
	// minLoad is the load, in cores, that a connection is taken to have at least, also where nothing is known of it.
	minLoad = 0.001

	// costDoublesAt is the utilization at which a connection costs twice as much as at an idle server. Loads swing, so
	// messages begin to wait well before a server is full.
	costDoublesAt = 0.4
	// utilizationExponent is the power at which the cost grows with utilization.
	utilizationExponent = 6.0
	// costExponent is the power at which the selection weight falls with the cost. A server that has the connection's
	// group takes a load of 1 where another takes 1 + GroupCost, and so is 64 times as likely at the third power:
	// groups stay together until their server is well utilized.
	costExponent = 3.0
	// crossZoneCostFactor is the factor by which crossing zones raises a connection's cost.
	crossZoneCostFactor = 3.0

	// minUtilizationLimit is the utilization up to which connections of a class without any priority are admitted: load
	// swings, and messages of the others still have to fit.
	minUtilizationLimit = 0.65
	// maxUtilizationLimit is the same for the class with the highest priority: between the two, connections of
	// that class are admitted while others are rejected.
	maxUtilizationLimit = 0.8
	// maxAddedFraction is the part of its limit that one connection counts at most.
	maxAddedFraction = 0.5
)

// addedUtilization returns what one more connection of this load, in cores, adds to the utilization. It pays for its
// group unless the server has connections of that already.
func (g *Gauge) addedUtilization(model *LoadModel, warmUp, load float64, hasGroup bool) float64 {
	added := max(load, minLoad)
	if !hasGroup {
		added += model.groupCost()
	}
	return added / (g.Size * warmUp)
}

// HasCapacityFor decides whether the server can take one more connection of this load, in cores. priority is the
// priority weight of the connection's class over that of the highest class, 0 to 1: the limit on utilization lies
// between minUtilizationLimit and maxUtilizationLimit by it. A connection counts at most maxAddedFraction of the limit,
// so that a server below half of it takes any: one that would fill a server by itself finds no better place by
// being rejected.
func (g *Gauge) HasCapacityFor(model *LoadModel, warmUp, load float64, hasGroup bool, priority float64) bool {
	limit := minUtilizationLimit + (maxUtilizationLimit-minUtilizationLimit)*priority
	added := g.addedUtilization(model, warmUp, load, hasGroup)
	return g.Utilization(model, warmUp)+min(added, limit*maxAddedFraction) <= limit
}

// SelectionWeight decides how likely the server is chosen for a connection of this load, in cores, relative to others.
// It is proportional to the server's size, and falls with the cost: what the connection takes of the server, as a
// multiple of a usual load, more at a server that is well utilized, and more across zones. Above 0.
func (g *Gauge) SelectionWeight(model *LoadModel, warmUp, load float64, hasGroup, crossZone bool) float64 {
	added := g.addedUtilization(model, warmUp, load, hasGroup)
	usualLoad := max(load, model.meanLoad, minLoad)
	utilization := g.Utilization(model, warmUp) + added
	cost := added * g.Size / usualLoad * (1 + math.Pow(utilization/costDoublesAt, utilizationExponent))
	if crossZone {
		cost *= crossZoneCostFactor
	}
	return g.Size * math.Pow(cost, -costExponent)
}
