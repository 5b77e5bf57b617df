package resume

// Reason says why a token is rejected. Its word is sent to clients and logged.
type Reason uint8

// The reasons. Accepted is none.
const (
	Accepted       Reason = iota
	Malformed             // it is not a token, or lasts longer than MaxLifetime
	UnknownKey            // its key was withdrawn, or never known
	Forged                // its authentication fails
	NotYetValid           // it is issued later than now: clocks disagree
	Expired               // its lifetime is over
	StreamMismatch        // the request is of another class, key or group
	TenantMismatch        // the request is of another tenant
	CursorAhead           // the cursor is beyond what the stream had delivered
	WrongServer           // it names another server
	ServerGone            // the server that it names is not listed as ready, or has restarted since
	ServerDraining        // that server takes nothing new
	InUse                 // another attempt with it is under way or live
	AlreadyUsed           // it has been used
	TableFull             // the table of claims is full
	LogGap                // the server's log no longer reaches back to the cursor
	Unreachable           // the server can't be connected to
	OutcomeUnknown        // an attempt ended such that it may have been executed, or may yet be
	Unsupported           // the server does not understand tokens
	reasonCount
)

// String returns the reason's word on the wire.
func (r Reason) String() string {
	words := [reasonCount]string{
		Accepted:       "honoured",
		Malformed:      "malformed",
		UnknownKey:     "key",
		Forged:         "forged",
		NotYetValid:    "early",
		Expired:        "expired",
		StreamMismatch: "stream",
		TenantMismatch: "tenant",
		CursorAhead:    "ahead",
		WrongServer:    "elsewhere",
		ServerGone:     "gone",
		ServerDraining: "draining",
		InUse:          "taken",
		AlreadyUsed:    "spent",
		TableFull:      "full",
		LogGap:         "gap",
		Unreachable:    "unreachable",
		OutcomeUnknown: "unsure",
		Unsupported:    "unsupported",
	}
	return words[r]
}

// ParseReason returns the reason of a word on the wire; false if there is none. The word of Accepted is not a reason.
func ParseReason(word []byte) (Reason, bool) {
	for r := Accepted + 1; r < reasonCount; r++ {
		if r.String() == string(word) {
			return r, true
		}
	}
	return Accepted, false
}
