package serverload

import (
	"cmp"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// overloadUtilization is the utilization from which on a server is overloaded: hardly any message is answered in
	// time.
	overloadUtilization = 0.9
	// targetUtilization is the utilization down to which an overloaded server is relieved, and up to which other
	// servers accept the moved connections.
	targetUtilization = 0.8
	// rebalanceInterval is the minimum time between two rounds of moves off a server, because the effect of a round
	// does not show sooner.
	rebalanceInterval = 2 * monotime.Second
	// moveOvershoot is the largest load that may be moved, as a multiple of the load that still has to be moved. Moving
	// somewhat too much is better than moving nothing.
	moveOvershoot = 1.2
)

// SpareCapacity returns the load, in cores, that the server can accept before it reaches targetUtilization.
func (g *Gauge) SpareCapacity(model *LoadModel, warmup float64) float64 {
	return max(targetUtilization-g.Utilization(model, warmup), 0) * g.Size * warmup
}

// ExcessLoad returns how much of this balancer's load, in cores, is to be moved off the server: 0 below
// overloadUtilization or within rebalanceInterval of the last moves, otherwise this balancer's proportional part of the
// load above targetUtilization.
func (g *Gauge) ExcessLoad(now monotime.Micros, model *LoadModel, warmup float64) float64 {
	utilization := g.Utilization(model, warmup)
	if utilization < overloadUtilization || now-g.RebalancedAt < rebalanceInterval {
		return 0
	}
	return g.OwnLoad * (1 - targetUtilization/utilization)
}

// Connection is a connection that may be moved.
type Connection struct {
	Group uint64  // 0 if it has none
	Load  float64 // cores
}

// SelectConnectionsToMove selects connections to move, so as to take the wanted load, in cores, off a server. It
// returns their indices and the sum of their loads. Connections that relieve the server most per move go first. A group
// with few connections at the server thus goes before heavy connections of larger groups, because moving all of it also
// takes off the group's cost. A connection or a whole group is selected only if its load is at most moveOvershoot times
// the load that still has to be moved.
func SelectConnectionsToMove(
	model *LoadModel, connections []Connection, wanted float64,
) (selected []int, load float64) {
	take := func(i int) {
		selected = append(selected, i)
		load += connections[i].Load
	}
	for _, group := range groupsByRelief(model, connections) {
		if group.load <= wanted*moveOvershoot {
			if wanted > 0 {
				group.each(take)
			}
			wanted -= group.load + model.groupCost()
			continue
		}
		for _, i := range group.members {
			if wanted > 0 && connections[i].Load <= wanted*moveOvershoot {
				take(i)
				wanted -= connections[i].Load
			}
		}
	}
	return selected, load
}

// movableGroup is the connections of one group, or a single connection without a group.
type movableGroup struct {
	members []int   // indices, the heaviest first
	load    float64 // of all members, in cores
	relief  float64 // load that moving all members takes off, per member
}

func (g *movableGroup) each(f func(index int)) {
	for _, i := range g.members {
		f(i)
	}
}

// groupsByRelief returns the connections by group, in descending order of relief.
func groupsByRelief(model *LoadModel, connections []Connection) []*movableGroup {
	var groups []*movableGroup
	byID := map[uint64]*movableGroup{}
	for i, c := range connections {
		group := byID[c.Group]
		if group == nil || c.Group == 0 {
			group = &movableGroup{}
			groups = append(groups, group)
			byID[c.Group] = group
		}
		group.members = append(group.members, i)
		group.load += c.Load
	}
	for _, group := range groups {
		group.relief = (group.load + model.groupCost()) / float64(len(group.members))
		slices.SortStableFunc(group.members, func(i, j int) int {
			return cmp.Compare(connections[j].Load, connections[i].Load)
		})
	}
	slices.SortStableFunc(groups, func(a, b *movableGroup) int { return cmp.Compare(b.relief, a.relief) })
	return groups
}
