//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["tail"] = playTail
	cases["stop"] = playStop
}

// The tail case: servers send a stream and end it, and the clients read slowly, but without a pause. The stop case: the
// balancer is stopped in a planned way under such streams.
const (
	slowRate  = 500_000 // bytes a second that a slow client reads
	slowStep  = 50 * time.Millisecond
	slowChunk = slowRate / 20
	slowLine  = 1000 // bytes of a line, with its end
	// A client that has paused for so long by itself, because its machine was busy, is excused: the pages let a client
	// pause for 0.8 s.
	slowPause = 400 * time.Millisecond

	// Which streams are cut depends on where their ends meet the buffers of the kernel, so the streams have many
	// lengths.
	tailClients = 80
	tailLines   = 5200
	tailMore    = 12 // lines that each further client gets more
	tailRounds  = 4
	tailShift   = 3 // lines that each further round sends more

	stopClients = 30
	stopLines   = 20_000
	stopAfter   = 5 * time.Second
	stopKill    = 2700 * time.Millisecond // the longest deadline and 0.7 s
	stopLeave   = 15 * time.Second        // when clients leave that are served
)

func playTail(w *world) error {
	// The ids of the clients of later rounds go on from those before.
	lines := func(client int) int {
		return tailLines + client%tailClients*tailMore + client/tailClients*tailShift
	}
	b, err := startDownloads(w, lines)
	if err != nil {
		return err
	}
	for round := range tailRounds {
		err := readStreams(tailClients, func(i int) error {
			client := round*tailClients + i
			d, err := download(w, b, client, readingManner{slow: w.trouble})
			if err != nil {
				return err
			}
			if d.pause >= slowPause {
				w.logf("client %d is excused", client)
				return nil
			}
			if d.lines != lines(client) || !bytes.HasSuffix(d.last, []byte("\r\nBYE\r\n")) {
				return brokenf("client %d got %d lines of %d, and then an end", client, d.lines, lines(client))
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func playStop(w *world) error {
	b, err := startDownloads(w, func(int) int { return stopLines })
	if err != nil {
		return err
	}
	time.AfterFunc(stopAfter, func() {
		if !w.trouble {
			return
		}
		w.logf("SIGTERM")
		b.signal(syscall.SIGTERM)
		time.Sleep(stopKill)
		b.kill()
	})
	return readStreams(stopClients, func(client int) error {
		d, err := download(w, b, client, readingManner{slow: true, leave: stopLeave})
		if err != nil || d.left {
			return err
		}
		if d.pause >= slowPause {
			w.logf("client %d is excused", client)
			return nil
		}
		if !bytes.HasSuffix(d.last, []byte("\r\nMOVE\r\n")) && !bytes.HasSuffix(d.last, []byte("\r\nBYE\r\n")) {
			return brokenf("client %d was cut off after %d lines without MOVE: %v", client, d.lines, d.end)
		}
		return nil
	})
}

// startDownloads starts servers that send as many lines as lines tells, and a balancer.
func startDownloads(w *world, lines func(client int) int) (*process, error) {
	nodes, err := startNodes(w)
	if err != nil {
		return nil, err
	}
	for _, n := range nodes {
		n.stream = func(c net.Conn, id string) {
			var client int
			_, _ = fmt.Sscanf(id[8:], "%x", &client)
			sent, err := sendStream(c, lines(client))
			w.logf("%s sent %d lines to %s: %v", n.id, sent, id, err)
		}
	}
	return w.startBalancer(balancerConfig{name: "n0", settings: smallDeployment()})
}

// sendStream sends numbered lines, and then BYE.
func sendStream(c net.Conn, lines int) (sent int, err error) {
	const number = 8 // digits
	pad := bytes.Repeat([]byte("x"), slowLine-number-len(" \r\n"))
	out := bufio.NewWriterSize(c, 1<<16)
	for ; sent < lines && err == nil; sent++ {
		_, err = fmt.Fprintf(out, "%0*d %s\r\n", number, sent, pad)
	}
	_, _ = fmt.Fprint(out, "BYE\r\n")
	return sent, errors.Join(err, out.Flush())
}

func readStreams(n int, read func(client int) error) error {
	errs := make([]error, n)
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() { errs[i] = read(i) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// downloaded is what a client got of a stream.
type downloaded struct {
	lines int           // whole ones, without UP, BYE and MOVE
	last  []byte        // the end of what it got
	end   error         // how it ended
	left  bool          // the client has left
	pause time.Duration // the longest time that the client did not read
}

// readingManner is how a client reads a stream.
type readingManner struct {
	slow  bool          // it reads slowChunk bytes in each slowStep
	leave time.Duration // it leaves after this time; 0 for never
}

// openStream opens a connection, and comes again while it is refused.
func openStream(b *process, client int) (*net.TCPConn, error) {
	for try := range 10 {
		c, err := net.Dial("tcp", b.listen)
		if err != nil {
			return nil, err
		}
		_ = c.(*net.TCPConn).SetReadBuffer(1 << 16)
		_, _ = fmt.Fprintf(c, "OPEN %08x%08x %016x c=index-sync,d=1200\r\n", try, client, client+1)
		first := make([]byte, len("UP "))
		if _, err := io.ReadFull(c, first); err == nil && string(first) == "UP " {
			return c.(*net.TCPConn), nil
		}
		_ = c.Close()
		time.Sleep(500 * time.Millisecond)
	}
	return nil, fmt.Errorf("client %d was refused ten times", client)
}

// download reads a stream to its end.
func download(w *world, b *process, client int, manner readingManner) (*downloaded, error) {
	c, err := openStream(b, client)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	start := time.Now()
	d, total := &downloaded{}, 0
	for buf := make([]byte, slowChunk); d.end == nil && !d.left; {
		var n int
		n, d.end = c.Read(buf)
		total += n
		d.lines += bytes.Count(buf[:n], []byte("\n"))
		d.last = append(d.last, buf[:n]...)
		d.last = d.last[max(0, len(d.last)-2*slowLine):]
		d.left = manner.leave > 0 && time.Since(start) > manner.leave
		if manner.slow && d.end == nil {
			before := time.Now()
			time.Sleep(slowStep * time.Duration(n) / slowChunk)
			d.pause = max(d.pause, time.Since(before))
		}
	}
	d.lines-- // UP
	if bytes.HasSuffix(d.last, []byte("\r\nBYE\r\n")) || bytes.HasSuffix(d.last, []byte("\r\nMOVE\r\n")) {
		d.lines--
	}
	w.logf("client %d read %d bytes, %d whole lines, the last bytes are %q, after %.1f s, pauses up to %v: %v",
		client, total, d.lines, d.last[max(0, len(d.last)-12):], time.Since(start).Seconds(), d.pause, d.end)
	return d, nil
}
