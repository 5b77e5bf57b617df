package serverload

const (
	// GroupCost is the load that a server bears for each group that has connections there, as a multiple of a
	// connection's mean load. No setting provides it.
	GroupCost = 3.0

	// meanLoadWindow is the number of recent connections that the mean load follows.
	meanLoadWindow = 300
	// meanLoadPrior is the number of connections without load that the mean starts with, because one heavy connection
	// says little about the others.
	meanLoadPrior = 5
	// hintCutoff is the number of known loads from which on hints are ignored.
	hintCutoff = 100
)

// LoadModel holds the load statistics and the meaning of listed weights, which all servers share.
type LoadModel struct {
	// DynamicWeights is set if a listed weight is the server's cores divided by (1 + its connections per core).
	// Otherwise a listed weight is the server's size.
	DynamicWeights bool
	// LoadsReported is set if servers report the loads of connections. Not used.
	LoadsReported bool

	sizeByMachineType map[uint16]float64 // largest weight listed for any server of a machine type
	meanLoad          float64            // mean load of a connection, in cores
	observed          float64            // number of connections that meanLoad follows, at most meanLoadWindow
}

// Observe adds the load of one connection, in cores, to the mean.
func (m *LoadModel) Observe(load float64) {
	m.observed = min(m.observed+1, meanLoadWindow)
	m.meanLoad += (load - m.meanLoad) / (m.observed + meanLoadPrior)
}

// ObserveHint adds an estimate of a connection's load, in cores, to the mean, unless hintCutoff loads are known
// already.
func (m *LoadModel) ObserveHint(load float64) {
	if m.observed < hintCutoff {
		m.Observe(load)
	}
}

// MeanLoad returns the mean load of a connection, in cores; 0 before any was observed.
func (m *LoadModel) MeanLoad() float64 { return m.meanLoad }

// SizeFromWeight derives from a listed weight the server's size, in the unit of Gauge.Size, and the number of
// connections that all balancers have there, 0 if weights don't show it. For a weight that falls with use, the size is
// taken to be the largest weight that any server of its machine type was listed with.
func (m *LoadModel) SizeFromWeight(machineType uint16, weight float64) (size, connections float64) {
	if !m.DynamicWeights {
		return weight, 0
	}
	if m.sizeByMachineType == nil {
		m.sizeByMachineType = map[uint16]float64{}
	}
	size = max(m.sizeByMachineType[machineType], weight)
	m.sizeByMachineType[machineType] = size
	return size, size * (size/weight - 1)
}

// groupCost returns the load, in cores, that a server bears for each group.
func (m *LoadModel) groupCost() float64 { return GroupCost * m.meanLoad }
