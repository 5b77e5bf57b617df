package lifecycle

// State is the lifecycle state of a balancer, which determines how it treats clients.
type State uint8

const (
	// Serving accepts clients and answers their PING with +OK.
	Serving State = iota
	// LameDuck moves its clients away and answers their PING with an error, but stays, and can return to Serving.
	LameDuck
	// Stopping is the final state: shutting down after SIGTERM.
	Stopping
)

// String returns the state's word in replies to commands.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case LameDuck:
		return "lameduck"
	}
	return "stopping"
}

// Transition is the effect of a command.
type Transition struct {
	Next    State  // state after the command
	Changed bool   // whether Next differs from the state before
	Reply   string // line to send to the caller, without its terminator
}

// Apply returns the transition of a command in a state. The command PING changes nothing and succeeds until the
// balancer stops. LAMEDUCK in a lame duck and REJOIN while serving succeed and change nothing; after SIGTERM both fail.
// MEMBERS, RECORD and UNSERVED are unknown here: a caller that can answer them must handle them before.
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
