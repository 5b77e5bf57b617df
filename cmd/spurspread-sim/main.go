// Command spurspread-sim hosts instances of the decision module on the wire: batches of events on standard input, one
// reply a batch on standard output. Each instance has a balancer of its own; nothing is shared between them.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"spurspread/decision"
	"spurspread/internal/settings"
	"spurspread/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "spurspread-sim:", err)
		os.Exit(1)
	}
}

// host keeps the balancers by instance, and the lists of servers that updates refer to.
type host struct {
	balancers map[uint16]*decision.Balancer
	lists     [16][]decision.ServerEntry
	listKnown [16]bool
	reply     simwire.Reply
	actions   []decision.Action
}

func run(in io.Reader, out io.Writer) error {
	h := &host{balancers: map[uint16]*decision.Balancer{}}
	rd, w := simwire.NewReader(bufio.NewReaderSize(in, 1<<16)), bufio.NewWriterSize(out, 1<<16)
	for {
		b, err := rd.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleBatch(b); err != nil {
			return err
		}
		if _, err := w.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("batch %d: reply: %w", b.Sequence, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("batch %d: reply: %w", b.Sequence, err)
		}
	}
}

// handleBatch hands each record to the instance that it is for and collects the actions, instance by instance.
func (h *host) handleBatch(b simwire.Batch) error {
	h.reply.Begin(b.Sequence)
	h.actions = h.actions[:0]
	who, targeted := uint16(0), false
	for i := range b.Count {
		rec, err := b.Record(i)
		if err != nil {
			return err
		}
		switch rec.Kind {
		case simwire.SelectInstance:
			if err := h.flush(who); err != nil {
				return err
			}
			who, targeted = rec.Instance, true
			continue
		case simwire.ServerList:
			h.lists[rec.ListNumber], h.listKnown[rec.ListNumber] = rec.Entries, true
			continue
		}
		if !targeted {
			err = errors.New("no instance was named before it")
		} else {
			err = h.handleRecord(who, b.Now, rec)
		}
		if err != nil {
			return fmt.Errorf("batch %d, record %d: %w", b.Sequence, i, err)
		}
	}
	return h.flush(who)
}

func (h *host) flush(who uint16) error {
	err := h.reply.Add(who, h.actions)
	h.actions = h.actions[:0]
	return err
}

func (h *host) handleRecord(who uint16, now decision.Micros, rec simwire.Record) error {
	switch rec.Kind {
	case simwire.Start:
		s, err := settings.ParseText(rec.Text)
		if err != nil {
			return fmt.Errorf("instance %d: %w", who, err)
		}
		h.actions = h.actions[:0]
		h.balancers[who] = decision.New(s.Decision, rec.Seed, now)
		return nil
	case simwire.Stop:
		// What the instance decided earlier in this batch dies with it.
		delete(h.balancers, who)
		h.actions = h.actions[:0]
		return nil
	case simwire.Ignored:
		return nil
	}
	bal := h.balancers[who]
	if bal == nil {
		return fmt.Errorf("instance %d was not started", who)
	}
	ev := rec.Event
	if rec.Kind == simwire.ListUpdate {
		u := decision.ServerListUpdate{Kind: rec.ListKind}
		if rec.ListKind != decision.UpdateFailed {
			if !h.listKnown[rec.ListNumber] {
				return fmt.Errorf("list %d was never sent", rec.ListNumber)
			}
			u.Entries = h.lists[rec.ListNumber]
		}
		ev = u
	}
	h.actions = bal.Handle(now, ev, h.actions)
	return nil
}
