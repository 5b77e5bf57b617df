package proxy

import (
	"fmt"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/internal/settings"
)

// A request whose key only one zone or cell knows, and that may have been executed, goes to no other one: not to a zone
// 256 further in the settings, not from one zone that they don't have to another, not to a cell 65,536 further.
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
			g := newHarnessWithCore(t, 2, func(cfg *Config) {
				rule := `"effect":"idempotency_key","key_scope":"` + c.scope + `","window":500000`
				set, err := settings.ParseJSON([]byte(strings.Replace(listed, `"effect":"read_like"`, rule, 1)))
				if err != nil {
					t.Fatal(err)
				}
				cfg.Settings = set
				list := strings.Replace(string(cfg.CachedList), `"zone":"a"`, c.first, 1)
				cfg.CachedList = []byte(strings.Replace(list, `"zone":"a"`, c.next, 1))
			})
			client := g.client(openLine)
			accepted := make(chan *peer, len(g.servers))
			for _, server := range g.servers {
				go func() {
					if conn, err := server.Accept(); err == nil {
						accepted <- g.peer(conn, nil)
					}
				}()
			}
			first := <-accepted
			first.line()
			g.check(first.SetLinger(0))
			g.check(first.Close()) // a reset: it may have run
			client.want("ERR\r\n")
			if len(accepted) > 0 {
				t.Error("sent to the other scope")
			}
		})
	}
}

// Reloaded settings that list zones in another order leave each server in its zone, before discovery tells anything.
func TestReloadKeepsServersInTheirZones(t *testing.T) {
	g := newHarnessWithCore(t, 2, func(cfg *Config) {
		list, inA := string(cfg.CachedList), `"zone":"a"`
		second := strings.LastIndex(list, inA)
		cfg.CachedList = []byte(list[:second] + `"zone":"b"` + list[second+len(inA):])
	})
	reordered := strings.Replace(harnessSettings, `"zone":0,"dcs":["a","b"]`, `"zone":2,"dcs":["c","b","a"]`, 1)
	set, err := settings.ParseJSON([]byte(reordered))
	g.check(err)
	g.inLoop(func() {
		cfg := g.proxy.cfg
		cfg.Settings = set
		g.proxy.Reload(cfg)
	})
	for i := range 5 {
		g.client(openLineWithID(i))
		server := g.acceptUpstream(0)
		server.line()
		server.say("UP r1\r\n")
		event[decision.Established](g)
	}
}
