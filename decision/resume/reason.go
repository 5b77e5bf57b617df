package resume

// Reason is the reason why a token is rejected. Its word is sent to clients and logged.
type Reason uint8

// The reasons. Accepted means no rejection.
const (
	Accepted       Reason = iota
	Malformed             // it is not a token, or its lifetime exceeds MaxLifetime
	UnknownKey            // its encryption key was withdrawn, or never known
	Forged                // its authentication fails
	NotYetValid           // its time of issue is in the future: clocks disagree
	Expired               // its lifetime is over
	StreamMismatch        // the request is of another class, key or group
	TenantMismatch        // the request is of another tenant
	CursorAhead           // the cursor is beyond the last delivered message
	WrongServer           // it names another server
	ServerGone            // the server that it names is not listed as ready, or has restarted
	ServerDraining        // the server that it names accepts no new streams
	InUse                 // another attempt with it is pending or live
	AlreadyUsed           // it has been used
	TableFull             // the table of claims is full
	LogGap                // the server's log no longer reaches back to the cursor
	Unreachable           // connecting to the server failed
	OutcomeUnknown        // an attempt ended and may have been executed, or may still be
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

// ParseReason returns the reason of a word on the wire, or false if there is none. The word of Accepted is not a
// reason.
func ParseReason(word []byte) (Reason, bool) {
	for r := Accepted + 1; r < reasonCount; r++ {
		if r.String() == string(word) {
			return r, true
		}
	}
	return Accepted, false
}
