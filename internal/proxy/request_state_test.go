package proxy

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

// transitionAllowed allows exactly the transitions of this table: none leaves stateClosed or returns to stateNew.
func TestTransitions(t *testing.T) {
	allowed := map[requestState][]requestState{
		stateNew:          {statePending, stateReattaching, stateClosed},
		statePending:      {stateEstablished, stateClosed},
		stateReattaching:  {stateEstablished, stateClosed},
		stateEstablished:  {stateHalfClosed, stateTransferring, stateClosed},
		stateHalfClosed:   {stateClosed},
		stateTransferring: {stateEstablished, stateClosed},
		stateClosed:       {},
	}
	for from := range stateClosed + 2 {
		want := map[requestState]bool{}
		for _, to := range allowed[from] {
			want[to] = true
		}
		for to := range stateClosed + 2 {
			if got := transitionAllowed(from, to); got != want[to] {
				t.Errorf("transitionAllowed(%v, %v) = %v, want %v", from, to, got, want[to])
			}
		}
	}
}

// A request is registered with the decision core once it is pending or established, and stays registered.
func TestRequestIsRegistered(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(transitionHook{t})
	for _, c := range []struct {
		path []requestState
		want []bool
	}{
		{
			[]requestState{statePending, stateEstablished, stateHalfClosed, stateClosed},
			[]bool{true, true, true, true},
		},
		{[]requestState{stateReattaching, stateEstablished, stateTransferring}, []bool{false, true, true}},
		{[]requestState{stateReattaching, stateClosed}, []bool{false, false}},
		{[]requestState{stateClosed}, []bool{false}},
	} {
		r := &request{proxy: &Proxy{log: log}}
		for i, to := range c.path {
			r.transition(to)
			if r.registered != c.want[i] || r.state != to {
				t.Errorf("%v, step %d: registered = %v in %v, want %v", c.path, i, r.registered, r.state, c.want[i])
			}
		}
	}
}
