package peer

// Counts holds event counts since the start of the process. Scripts depend on the JSON names.
type Counts struct {
	Sent      int64 `json:"Sent"`      // datagrams, without Hellos
	SentBytes int64 `json:"SentBytes"` // including the encryption overhead
	// Received counts datagrams whose message was passed to membership or the zone directory.
	Received int64 `json:"Taken"`
	// Suppressed counts messages that were not sent because the budget was used up.
	Suppressed int64 `json:"Saved"`
	// Malformed counts authentic datagrams whose content is no valid encoding.
	Malformed int64 `json:"Malformed"`
	// Forged counts datagrams that can't be decrypted: not authentic, with an unknown key, or of invalid length.
	Forged int64 `json:"Forged"`
	// Replayed counts datagrams that were received before, or are too old to tell.
	Replayed int64 `json:"Replayed"`
	// Dropped counts datagrams that were discarded without decryption, because they exceeded the limit per second.
	Dropped int64 `json:"Lost"`
	// Pauses counts pauses of this process.
	Pauses int64 `json:"Pauses"`
	// FailureReports counts reports by this member that another member has failed.
	FailureReports int64 `json:"Accusations"`
	// OtherVersion counts datagrams with another version of the encoding. Members with zones and members without them
	// use different versions.
	OtherVersion int64 `json:"OtherVersion,omitempty"`
}

// Counts returns the counts so far.
func (h *Host) Counts() Counts {
	counts := h.counts
	counts.Suppressed = int64(h.fleet.Suppressed)
	counts.Pauses = int64(h.fleet.Pauses)
	counts.FailureReports = int64(h.fleet.FailureReports)
	return counts
}
