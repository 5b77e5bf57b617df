package attemptoutcome

import (
	"testing"

	"spurspread/decision/outcome"
)

func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct{ got, want outcome.Status }{
		"dial without descriptors":       {OfFailedDial(true), outcome.Inconclusive},
		"dial refused":                   {OfFailedDial(false), outcome.ConnectFailed},
		"not written":                    {OfUnanswered(outcome.TimedOut, false), outcome.ConnectFailed},
		"written":                        {OfUnanswered(outcome.TimedOut, true), outcome.TimedOut},
		"waiting, connection reset":      {OfWaiting(outcome.Reset), outcome.ConnectFailed},
		"waiting, no descriptors":        {OfWaiting(outcome.Inconclusive), outcome.Inconclusive},
		"server reset":                   {OfEstablished(outcome.Reset, false), outcome.Reset},
		"server ended after its client":  {OfEstablished(outcome.Reset, true), outcome.Cancelled},
		"server finished, client closed": {OfEstablished(outcome.OK, true), outcome.OK},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
}

func TestLocalShortage(t *testing.T) {
	if !IsLocalShortage(OfFailedDial(true)) || IsLocalShortage(OfFailedDial(false)) {
		t.Error("IsLocalShortage must be true for a dial that failed for lack of descriptors, and false for any other")
	}
}

func TestRetriesReattach(t *testing.T) {
	if !RetriesReattach(outcome.ConnectFailed) || RetriesReattach(outcome.Reset) || RetriesReattach(outcome.TimedOut) {
		t.Error("RetriesReattach must be true for ConnectFailed, and false for Reset and TimedOut")
	}
}

// A stream can continue on another server only if its messages are numbered, its last line is complete, and the server
// has not finished it.
func TestContinuesOnAnotherServer(t *testing.T) {
	for name, c := range map[string]struct {
		stream Stream
		want   bool
	}{
		"numbered":                {Stream{true, true, outcome.Reset}, true},
		"plain":                   {Stream{false, true, outcome.Reset}, false},
		"in the middle of a line": {Stream{true, false, outcome.Reset}, false},
		"finished":                {Stream{true, true, outcome.OK}, false},
		"moved away":              {Stream{true, true, outcome.Cancelled}, true},
	} {
		if got := ContinuesOnAnotherServer(c.stream); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A server continues a stream only if it confirms that it starts exactly at the client's cursor.
func TestContinuesAfterCursor(t *testing.T) {
	for name, c := range map[string]struct {
		numbered     bool
		from, cursor uint64
		want         bool
	}{
		"from the cursor":  {true, 41, 41, true},
		"from before it":   {true, 40, 41, false},
		"from after it":    {true, 42, 41, false},
		"without a number": {false, 41, 41, false},
	} {
		if got := ContinuesAfterCursor(c.numbered, c.from, c.cursor); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Of several attempts that fail together, only the first counts as evidence against the server.
func TestSharedFailureIsOnePieceOfEvidence(t *testing.T) {
	var f SharedFailure
	ends := []struct{ failed, want bool }{{false, true}, {false, true}, {true, true}, {true, false}, {true, false}}
	for i, c := range ends {
		if got := f.IsEvidence(c.failed); got != c.want {
			t.Errorf("end %d: %v, want %v", i, got, c.want)
		}
	}
}
