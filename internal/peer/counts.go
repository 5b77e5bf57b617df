package peer

// Counts are what has happened since the start. Scripts read the JSON names.
type Counts struct {
	Sent      int64 `json:"Sent"`      // datagrams
	SentBytes int64 `json:"SentBytes"` // sealed
	// Received are the datagrams whose message was handed on.
	Received int64 `json:"Taken"`
	// Suppressed messages were not sent for want of budget.
	Suppressed int64 `json:"Saved"`
	Malformed  int64 `json:"Malformed"`
	// Forged datagrams have a broken seal, or one of a key that is not listed.
	Forged   int64 `json:"Forged"`
	Replayed int64 `json:"Replayed"`
	// Dropped datagrams were not opened: more arrived than are opened in a second.
	Dropped int64 `json:"Lost"`
	// Pauses are those of this process.
	Pauses int64 `json:"Pauses"`
	// FailureReports are those of this member about others.
	FailureReports int64 `json:"Accusations"`
	// OtherVersion datagrams have another version of the encoding, as those of members with zones have for one
	// without.
	OtherVersion int64 `json:"OtherVersion,omitempty"`
}

// Counts returns what has happened so far.
func (h *Host) Counts() Counts {
	counts := h.counts
	counts.Suppressed = int64(h.fleet.Suppressed)
	counts.Pauses = int64(h.fleet.Pauses)
	counts.FailureReports = int64(h.fleet.FailureReports)
	return counts
}
