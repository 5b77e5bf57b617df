package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"golang.org/x/sync/errgroup"

	"spurspread/internal/peer/packet"
)

// StubNote is the note of each report that lists the parts of the program that stub members lack.
const StubNote = "stub members have no clients, servers, discovery, settings, session store, admin listener and log"

// sampleQueueLength is the number of samples that may wait for the writer: some seconds of them, so that a slow reader
// does not block a loop.
const sampleQueueLength = 256

// RunStubMembers is the main function of a process of stub members. It reads a Setup and then Commands from in, and
// writes Samples to out, until in ends. An error means that the setup or a command was malformed, that a loop or key
// could not be created, or that out could not be written.
func RunStubMembers(in io.Reader, out io.Writer) error {
	lines := json.NewDecoder(bufio.NewReader(in))
	var setup Setup
	if err := lines.Decode(&setup); err != nil {
		return fmt.Errorf("stub members: read the setup: %w", err)
	}
	samples := make(chan *Sample, sampleQueueLength)
	written := make(chan error, 1)
	go func() { written <- writeSamples(out, samples) }()
	groups, err := newStubGroups(&setup, samples)
	if err != nil {
		return err
	}
	var loops errgroup.Group
	for _, group := range groups {
		loops.Go(group.run)
	}
	err = serveCommands(lines, groups)
	for _, group := range groups {
		group.loop.Post(group.loop.Stop)
	}
	err = errors.Join(err, loops.Wait())
	close(samples)
	return errors.Join(err, <-written)
}

// newStubGroups creates the loops of the process with their members.
func newStubGroups(setup *Setup, samples chan<- *Sample) ([]*stubGroup, error) {
	var groups []*stubGroup
	for number, members := range setup.Loops {
		group, err := newStubGroup(setup, number, members, samples)
		if err != nil {
			return nil, fmt.Errorf("loop %d of stub members: %w", number, err)
		}
		groups = append(groups, group)
	}
	return groups, nil
}

// serveCommands posts each command to the loops that it concerns, until the input ends.
func serveCommands(lines *json.Decoder, groups []*stubGroup) error {
	for {
		var command Command
		err := lines.Decode(&command)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("stub members: read a command: %w", err)
		}
		for _, group := range groups {
			if command.Action == ActionLink || group.has(command.Member) {
				group.loop.Post(func() { group.execute(&command) })
			}
		}
	}
}

// writeSamples writes one line for each sample. After an error it writes nothing more, but continues to receive
// samples, so that no loop blocks.
func writeSamples(out io.Writer, samples <-chan *Sample) error {
	var failed error
	encoder := json.NewEncoder(out)
	for sample := range samples {
		if failed == nil {
			failed = encoder.Encode(sample)
		}
	}
	return failed
}

// newKeyring returns a keyring with the key of the fleet. A keyring is not safe for concurrent use.
func newKeyring(secret []byte) (*packet.Keyring, error) {
	key := packet.Key{Primary: true}
	if len(secret) != len(key.Secret) {
		return nil, fmt.Errorf("stub members: a key must have %d bytes, but has %d", len(key.Secret), len(secret))
	}
	copy(key.Secret[:], secret)
	return packet.NewKeyring([]packet.Key{key})
}
