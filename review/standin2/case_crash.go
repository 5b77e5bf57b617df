//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["crash"] = playCrash }

// The crash case: bad clients open many channels at once.
const (
	crashClients = 110 // "hundreds of connections"
	crashOpens   = 200 // of each at once: the limit of docs/protocol/channels.md
	crashLine    = 1000
	crashWaves   = 3
	crashGood    = 10
)

func playCrash(w *world) error {
	if _, err := startNodes(w); err != nil {
		return err
	}
	b, err := w.startBalancer(balancerConfig{name: "n0", site: channelsSite, settings: smallDeployment()})
	if err != nil {
		return err
	}
	good := newSteadyClients(w, b.listen, crashGood)
	time.Sleep(2 * time.Second)
	w.logf("%d kB are resident", residentKB(b))
	for wave := range crashWaves {
		var bad []*muxClient
		if w.trouble {
			bad = floodChannels(w, b, wave)
		}
		for range 250 {
			time.Sleep(20 * time.Millisecond)
			if kb := residentKB(b); kb > 0 {
				w.peakKB = max(w.peakKB, kb)
			}
			if b.hasExited() {
				leave(w, bad)
				w.logf("at most %d kB were resident, the limit is %d kB", w.peakKB, memoryMB*1024)
				return brokenf("the balancer has crashed: %v", b.cmd.ProcessState)
			}
		}
		leave(w, bad)
		w.logf("%d kB are resident, at most %d kB were", residentKB(b), w.peakKB)
		if err := good.fault(); err != nil {
			return err
		}
	}
	return nil
}

// leave records what the bad clients were answered, and ends their connections.
func leave(w *world, bad []*muxClient) {
	for _, c := range bad {
		w.logf("%s was answered: %s", c.name, c.summary())
		_ = c.conn.Close()
	}
}

// floodChannels plays the bad clients: each has a connection and opens crashOpens channels in one write.
func floodChannels(w *world, b *process, wave int) (bad []*muxClient) {
	pad := strings.Repeat("x", crashLine)
	var all sync.WaitGroup
	var mu sync.Mutex
	for k := range crashClients {
		all.Go(func() {
			c, err := dialMux(w, fmt.Sprintf("bad client %d", k), b.listen)
			if err != nil {
				w.logf("%v", err)
				return
			}
			var lines []string
			for i := range crashOpens {
				id := (wave+1)<<32 + k<<16 + i
				lines = append(lines, fmt.Sprintf("OPEN %016x %016x c=metadata-watch,d=2000,x=%s", id, id, pad))
			}
			_ = c.open(1, lines...)
			w.logf("%s sent %d opens like %.60q...", c.name, len(lines), lines[0])
			mu.Lock()
			bad = append(bad, c)
			mu.Unlock()
		})
	}
	all.Wait()
	w.logf("%d bad clients have opened %d channels each", crashClients, crashOpens)
	return bad
}

// residentKB returns the resident memory of a process; 0 if it has ended.
func residentKB(p *process) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb
		}
	}
	return 0
}
