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
	// maxHints is the number of hints and measured loads from which on further hints don't change the mean.
	maxHints = 100
	// hintCutoff is the number of measured loads from which on hints don't count in the mean: they are guesses of
	// clients, which may be wrong by any factor.
	hintCutoff = 20
	// maxMeasuredRatio is the largest measured load that the mean takes from one connection, as a multiple of the mean,
	// once hintCutoff loads are measured. A server that reports wrong loads must not decide what others are charged.
	maxMeasuredRatio = 8.0
	// maxHintRatio is the largest load that a hint may claim, as a multiple of the mean load that is known.
	maxHintRatio = 4.0
	// maxHintShare is the largest load that a hint may claim, as a fraction of the largest server.
	maxHintShare = 1.0 / 8
)

// LoadModel holds the load statistics and the meaning of listed weights, which all servers share.
type LoadModel struct {
	// DynamicWeights is set if a listed weight is the server's cores divided by (1 + its connections per core).
	// Otherwise a listed weight is the server's size.
	DynamicWeights bool
	// LoadsReported is set if servers report the loads of connections, so that sizes are in cores.
	LoadsReported bool

	sizeByMachineType map[uint16]float64 // largest weight listed for any server of a machine type
	largestSize       float64            // largest size of any server
	meanLoad          float64            // mean load of a connection, in cores
	measuredMean      float64            // mean of the measured loads and of meanLoadPrior loads of 0, in cores
	measuredCount     float64            // number of connections that measuredMean follows, at most meanLoadWindow
	hintMean          float64            // mean of the hints that were observed, in cores
	hintCount         float64            // number of hints that hintMean follows, at most maxHints
}

// Observe adds the measured load of one connection, in cores, to the mean.
func (m *LoadModel) Observe(load float64) {
	if m.measuredCount >= hintCutoff {
		load = min(load, maxMeasuredRatio*max(m.measuredMean, minLoad))
	}
	m.measuredCount = min(m.measuredCount+1, meanLoadWindow)
	m.measuredMean += (load - m.measuredMean) / (m.measuredCount + meanLoadPrior)
	m.updateMean()
}

// ObserveHint adds an estimate of a connection's load, in cores, to the mean, unless enough loads are known already.
// The caller limits the estimate with LimitHint.
func (m *LoadModel) ObserveHint(load float64) {
	if m.measuredCount >= hintCutoff || m.measuredCount+m.hintCount >= maxHints {
		return
	}
	m.hintCount++
	m.hintMean += (load - m.hintMean) / m.hintCount
	m.updateMean()
}

// updateMean sets meanLoad. Once hintCutoff loads are measured, hints don't count any more.
func (m *LoadModel) updateMean() {
	m.meanLoad = m.measuredMean
	if m.hintCount > 0 && m.measuredCount < hintCutoff {
		measured := m.measuredCount + meanLoadPrior
		m.meanLoad = (m.measuredMean*measured + m.hintMean*m.hintCount) / (measured + m.hintCount)
	}
}

// LimitHint returns the load, in cores, that a connection is taken to have whose client claims the given load: at least
// minLoad, at most maxHintRatio times the mean of the loads that are known and, where servers report loads, at most
// maxHintShare of the largest server. A claim is a guess, and it changes what all other clients get.
func (m *LoadModel) LimitHint(claimed float64) float64 {
	load := max(claimed, minLoad)
	if m.LoadsReported && m.largestSize > 0 {
		load = min(load, maxHintShare*m.largestSize)
	}
	if known := m.measuredCount + m.hintCount; known > 0 {
		mean := m.meanLoad * (known + meanLoadPrior) / known // without the loads of 0
		load = min(load, maxHintRatio*max(mean, minLoad))
	}
	return load
}

// MeanLoad returns the mean load of a connection, in cores; 0 before any was observed.
func (m *LoadModel) MeanLoad() float64 { return m.meanLoad }

// SizeFromWeight derives from a listed weight the server's size, in the unit of Gauge.Size, and the number of
// connections that all balancers have there, 0 if weights don't show it. For a weight that falls with use, the size is
// taken to be the largest weight that any server of its machine type was listed with.
func (m *LoadModel) SizeFromWeight(machineType uint16, weight float64) (size, connections float64) {
	m.largestSize = max(m.largestSize, weight)
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
