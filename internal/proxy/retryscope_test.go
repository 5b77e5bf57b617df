package proxy

import (
	"fmt"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/internal/settings"
)

// A request whose idempotency key is known to one zone or cell only, and that may have been executed, is not retried in
// another one. Zones and cells must not be mixed up: not zones 256 apart in the settings, not two zones that are not in
// the settings, not cells 65,536 apart.
func TestKeyedRetryStaysInItsScope(t *testing.T) {
	var zones []string
	for i := range 300 {
		zones = append(zones, fmt.Sprintf("%q", fmt.Sprint("z", i)))
	}
	listed := strings.Replace(harnessSettings, `"dcs":["a","b"]`, `"dcs":[`+strings.Join(zones, ",")+`]`, 1)
	for name, c := range map[string]struct {
		scope       string
		first, next string // where the servers are
	}{
		"zones 256 apart": {"zone", `"zone":"z299"`, `"zone":"z43"`},
		"unlisted zones":  {"zone", `"zone":"north"`, `"zone":"south"`},
		"cells far apart": {"cell", `"zone":"z0","cell":65543`, `"zone":"z0","cell":7`},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarnessWithCore(t, 2, func(cfg *Config) {
				rule := `"effect":"idempotency_key","key_scope":"` + c.scope + `","window":500000`
				set, err := settings.ParseJSON([]byte(strings.Replace(listed, `"effect":"read_like"`, rule, 1)))
				if err != nil {
					t.Fatal(err)
				}
				cfg.Settings = set
				list := strings.Replace(string(cfg.CachedList), `"zone":"a"`, c.first, 1)
				cfg.CachedList = []byte(strings.Replace(list, `"zone":"a"`, c.next, 1))
			})
			client := h.connect(openLine)
			accepted := make(chan *peer, len(h.servers))
			for _, server := range h.servers {
				go func() {
					if conn, err := server.Accept(); err == nil {
						accepted <- h.newPeer(conn, nil)
					}
				}()
			}
			first := <-accepted
			first.readLine()
			h.check(first.SetLinger(0))
			h.check(first.Close()) // a reset: the request may have been executed
			client.expect("ERR\r\n")
			if len(accepted) > 0 {
				t.Errorf("retried in another %s, want no retry", c.scope)
			}
		})
	}
}

// After a reload with the zones in another order, each server is still in its zone, even before discovery sends a list.
func TestReloadKeepsServersInTheirZones(t *testing.T) {
	h := newHarnessWithCore(t, 2, func(cfg *Config) {
		list, inA := string(cfg.CachedList), `"zone":"a"`
		second := strings.LastIndex(list, inA)
		cfg.CachedList = []byte(list[:second] + `"zone":"b"` + list[second+len(inA):])
	})
	reordered := strings.Replace(harnessSettings, `"zone":0,"dcs":["a","b"]`, `"zone":2,"dcs":["c","b","a"]`, 1)
	set, err := settings.ParseJSON([]byte(reordered))
	h.check(err)
	h.onLoop(func() {
		cfg := h.proxy.cfg
		cfg.Settings = set
		h.proxy.Reload(cfg)
	})
	for i := range 5 {
		h.connect(openLineWithID(i))
		server := h.acceptUpstream(0)
		server.readLine()
		server.send("UP r1\r\n")
		await[decision.Established](h)
	}
}
