package recall

import (
	"net/netip"
	"testing"
)

// An attempt is cancelled and its request placed again if its server was chosen as Ready and is listed differently now.
// The attempt continues if its request was written, or if the client names the server.
func TestNeeded(t *testing.T) {
	at := netip.MustParseAddrPort("10.0.0.1:80")
	chosen := Listing{Ready: true, StartedAt: 1_700_000_000_000, Addr: at}
	for name, c := range map[string]struct {
		chosen, current Listing
		want            bool
	}{
		"unchanged":            {chosen, chosen, false},
		"draining":             {chosen, Listing{false, chosen.StartedAt, at}, true},
		"restarted":            {chosen, Listing{true, chosen.StartedAt + 1, at}, true},
		"start became unknown": {chosen, Listing{true, 0, at}, true},
		"other address":        {chosen, Listing{true, chosen.StartedAt, netip.MustParseAddrPort("10.0.0.1:81")}, true},
		"was draining before":  {Listing{false, chosen.StartedAt, at}, chosen, false},
	} {
		a := Attempt{Placed: true, Chosen: c.chosen, Current: c.current}
		if got := Needed(a); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		a.Written = true
		if Needed(a) {
			t.Errorf("%s: Needed = true after the request was written, want false", name)
		}
		a.Written, a.Placed = false, false
		if Needed(a) {
			t.Errorf("%s: Needed = true though the client names the server, want false", name)
		}
	}
}
