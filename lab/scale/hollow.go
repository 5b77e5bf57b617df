package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"golang.org/x/sync/errgroup"

	"spurspread/internal/eventloop"
	"spurspread/internal/peer/packet"
)

// Stubs is what a hollow member is without; the report names it.
const Stubs = "hollow members have no clients, servers, discovery, settings, session store, admin listener and log"

// Hollow is the process of hollow members: it is told its setup and commands on in, and tells samples on out, until
// in ends.
func Hollow(in io.Reader, out io.Writer) error {
	lines := json.NewDecoder(bufio.NewReader(in))
	var setup Setup
	if err := lines.Decode(&setup); err != nil {
		return fmt.Errorf("hollow members: no setup: %w", err)
	}
	samples := make(chan *Sample, waitingSamples)
	written := make(chan error, 1)
	go func() { written <- write(out, samples) }()
	var groups []*group
	whose := map[int]*group{}
	for no, members := range setup.Loops {
		g, err := newGroup(&setup, no, members, samples)
		if err != nil {
			return err
		}
		groups = append(groups, g)
		for _, i := range members {
			whose[i] = g
		}
	}
	var run errgroup.Group
	for _, g := range groups {
		run.Go(g.run)
	}
	err := serveCommands(lines, groups, whose)
	for _, g := range groups {
		g.l.Post(g.l.Stop)
	}
	err = errors.Join(err, run.Wait())
	close(samples)
	return errors.Join(err, <-written)
}

// serveCommands has the loops do what they are told, until there is no more.
func serveCommands(lines *json.Decoder, groups []*group, whose map[int]*group) error {
	for {
		var c Command
		if err := lines.Decode(&c); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("hollow members: %w", err)
		}
		for _, g := range groups {
			if c.Do == DoLink || whose[c.Member] == g {
				g.l.Post(func() { g.do(&c) })
			}
		}
	}
}

// waitingSamples are what loops may be ahead of the writer: some seconds, so that a reader that is late holds up no
// loop.
const waitingSamples = 256

// write writes what loops tell, one line after another. Where nobody reads any more it goes on to take what they tell.
func write(out io.Writer, samples <-chan *Sample) (err error) {
	to := json.NewEncoder(out)
	for s := range samples {
		if err == nil {
			err = to.Encode(s)
		}
	}
	return err
}

// newRing returns the fleet's key. A ring is for one goroutine.
func newRing(secret []byte) (*packet.Keyring, error) {
	k := packet.Key{Primary: true}
	if len(secret) != len(k.Secret) {
		return nil, fmt.Errorf("hollow members: a key has %d bytes, not %d", len(k.Secret), len(secret))
	}
	copy(k.Secret[:], secret)
	return packet.NewKeyring([]packet.Key{k})
}

// every has a loop do something again and again.
func every(l *eventloop.Loop, span eventloop.Micros, do func()) {
	l.After(span, func() {
		every(l, span, do)
		do()
	})
}
