package serverload

const (
	// GroupCost is what a server pays for each group of which it has connections, as a multiple of a connection's mean
	// load. No setting states it.
	GroupCost = 3.0

	// meanLoadWindow is how many connections the mean load follows.
	meanLoadWindow = 300
	// meanLoadPrior is how many connections without load the mean starts with: one heavy connection says little about
	// the others.
	meanLoadPrior = 5
	// hintCutoff is how many loads must be known for hints to add nothing.
	hintCutoff = 100
)

// LoadModel is what all servers have in common.
type LoadModel struct {
	// DynamicWeights says that a listed weight is the server's cores over 1 + its connections per core. Otherwise it
	// is the server's size.
	DynamicWeights bool
	// LoadsReported says that servers report the loads of connections.
	LoadsReported bool

	sizeByKind map[uint16]float64 // the largest weight that any server of a kind was listed with
	meanLoad   float64            // of a connection, in cores
	observed   float64            // connections that meanLoad follows, at most meanLoadWindow
}

// Observe takes the load of one connection, in cores.
func (m *LoadModel) Observe(load float64) {
	m.observed = min(m.observed+1, meanLoadWindow)
	m.meanLoad += (load - m.meanLoad) / (m.observed + meanLoadPrior)
}

// ObserveHint takes an estimate of a connection's load, in cores. It counts until hintCutoff are known.
func (m *LoadModel) ObserveHint(load float64) {
	if m.observed < hintCutoff {
		m.Observe(load)
	}
}

// MeanLoad returns the mean load of a connection, in cores; 0 before any was observed.
func (m *LoadModel) MeanLoad() float64 { return m.meanLoad }

// SizeFromWeight derives from a listed weight the server's size, in cores, and how many connections all balancers had
// there, 0 where weights don't show it. The size behind a weight that falls with use is taken to be the largest that
// any server of its kind was listed with.
func (m *LoadModel) SizeFromWeight(kind uint16, weight float64) (size, connections float64) {
	if !m.DynamicWeights {
		return weight, 0
	}
	if m.sizeByKind == nil {
		m.sizeByKind = map[uint16]float64{}
	}
	size = max(m.sizeByKind[kind], weight)
	m.sizeByKind[kind] = size
	return size, size * (size/weight - 1)
}

// groupCost returns what a server pays for each group, in cores.
func (m *LoadModel) groupCost() float64 { return GroupCost * m.meanLoad }
