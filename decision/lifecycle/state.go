package lifecycle

// State is what a balancer does with clients.
type State uint8

const (
	// Serving accepts clients, and answers their PING with +OK.
	Serving State = iota
	// LameDuck moves its clients away and answers their PING with an error, but stays, and can return to Serving.
	LameDuck
	// Stopping is shutting down after SIGTERM. It is final.
	Stopping
)

// String returns the state's word in answers to commands.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case LameDuck:
		return "lameduck"
	}
	return "stopping"
}

// Transition is what a command brings about.
type Transition struct {
	Next    State  // the state after it
	Changed bool   // Next differs from the state before
	Reply   string // the line to answer, without its end
}

// Apply decides the transition of a command in a state. PING changes nothing and succeeds until the balancer stops.
// LAMEDUCK while draining and REJOIN while serving succeed and change nothing; after SIGTERM both fail. MEMBERS,
// RECORD and UNSERVED are unknown here: whoever can answer them handles them before.
func Apply(s State, kind CommandKind) Transition {
	switch {
	case kind == CommandMembers || kind == CommandRecord || kind == CommandUnserved:
		return unchanged(s, "-ERR "+ErrUnknownCommand.Error())
	case s == Stopping:
		return unchanged(s, "-ERR stopping")
	case kind == CommandPing:
		return unchanged(s, "+OK "+s.String())
	case kind == CommandLameDuck:
		return moveTo(LameDuck, s)
	default:
		return moveTo(Serving, s)
	}
}

func unchanged(s State, reply string) Transition { return Transition{Next: s, Reply: reply} }

func moveTo(next, from State) Transition {
	return Transition{Next: next, Changed: next != from, Reply: "+OK " + next.String()}
}
