package serverload

import (
	"cmp"
	"slices"

	"spurspread/decision/monotime"
)

const (
	// overloadUtilization is the utilization at which a server is overloaded: hardly any message is answered in time.
	overloadUtilization = 0.9
	// targetUtilization is the utilization down to which an overloaded server is relieved, and up to which others take
	// what is moved.
	targetUtilization = 0.8
	// rebalanceInterval is the time after moves before more follow: their effect does not show sooner.
	rebalanceInterval = 2 * monotime.Second
	// moveOvershoot is how much may be moved at most, as a multiple of what is still to be moved: somewhat too much
	// rather than nothing.
	moveOvershoot = 1.2
)

// SpareCapacity returns how much load, in cores, the server can take up to targetUtilization.
func (g *Gauge) SpareCapacity(model *LoadModel, warmUp float64) float64 {
	return max(targetUtilization-g.Utilization(model, warmUp), 0) * g.Size * warmUp
}

// ExcessLoad decides how much of this balancer's load, in cores, is to be moved off the server: nothing below
// overloadUtilization or within rebalanceInterval, else this balancer's part of what is above targetUtilization.
func (g *Gauge) ExcessLoad(now monotime.Micros, model *LoadModel, warmUp float64) float64 {
	utilization := g.Utilization(model, warmUp)
	if utilization < overloadUtilization || now-g.RebalancedAt < rebalanceInterval {
		return 0
	}
	return g.OwnLoad * (1 - targetUtilization/utilization)
}

// Connection is a connection that may be moved.
type Connection struct {
	Group uint64  // 0 where it has none
	Load  float64 // cores
}

// SelectConnectionsToMove decides which connections are to be moved to take this much load, in cores, off a server. It
// returns their indices and the sum of their loads. Those whose move takes off most per connection go first: the last
// few of a group, with which the group's cost goes, before heavy ones of other groups. A connection or a whole
// group goes only if it is no more than moveOvershoot times what is still to be moved.
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

// movableGroup is the connections of one group, or one connection without a group.
type movableGroup struct {
	members []int   // indices, the heaviest first
	load    float64 // of all members, in cores
	relief  float64 // load that moving all of them takes off, for each of them
}

func (g *movableGroup) each(f func(index int)) {
	for _, i := range g.members {
		f(i)
	}
}

// groupsByRelief returns the connections by groups, those first whose move relieves a server most per connection.
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
