package main

import (
	"errors"
	"fmt"

	"spurspread/decision"
	"spurspread/internal/settings"
	"spurspread/internal/simwire"
)

// Errors of records that refer to something that no earlier record has set up.
var (
	errNoInstance = errors.New("no instance selected before this record")
	errNotStarted = errors.New("not started")
	errNoList     = errors.New("not defined")
)

// host contains the balancers by instance, and the server lists that records refer to by number.
type host struct {
	balancers map[uint16]*decision.Balancer
	lists     [simwire.MaxLists]serverList
	reply     simwire.Reply
	actions   []decision.Action // of the selected instance, not yet added to reply
}

// serverList is one of the lists that the simulator can define.
type serverList struct {
	defined bool
	entries []decision.ServerEntry
}

func newHost() *host { return &host{balancers: map[uint16]*decision.Balancer{}} }

// handleBatch handles the records of a batch in order, and collects the resulting actions in h.reply, grouped by
// instance.
func (h *host) handleBatch(b simwire.Batch) error {
	h.reply.Begin(b.Sequence)
	h.actions = h.actions[:0]
	var instance uint16
	selected := false
	for i := range b.Count {
		record, err := b.Record(i)
		if err != nil {
			return err
		}
		switch record.Kind {
		case simwire.SelectInstance:
			if err := h.flush(instance); err != nil {
				return err
			}
			instance = record.Instance
			selected = true
			continue
		case simwire.ServerList:
			h.lists[record.ListNumber] = serverList{defined: true, entries: record.Entries}
			continue
		}
		err = errNoInstance
		if selected {
			err = h.handleRecord(instance, b.Now, record)
		}
		if err != nil {
			return fmt.Errorf("batch %d, record %d: %w", b.Sequence, i, err)
		}
	}
	return h.flush(instance)
}

// flush adds the collected actions to the reply, as those of instance.
func (h *host) flush(instance uint16) error {
	err := h.reply.Add(instance, h.actions)
	h.actions = h.actions[:0]
	return err
}

// handleRecord handles a record that is for an instance.
func (h *host) handleRecord(instance uint16, now decision.Micros, record simwire.Record) error {
	switch record.Kind {
	case simwire.Start:
		return h.start(instance, now, record)
	case simwire.Stop:
		h.stop(instance)
		return nil
	case simwire.Ignored:
		return nil
	}
	balancer := h.balancers[instance]
	if balancer == nil {
		return fmt.Errorf("instance %d: %w", instance, errNotStarted)
	}
	event := record.Event
	if record.Kind == simwire.ListUpdate {
		var err error
		if event, err = h.listUpdate(record); err != nil {
			return err
		}
	}
	h.actions = balancer.Handle(now, event, h.actions)
	return nil
}

// start creates a balancer for the instance. Actions that an earlier balancer of the instance has returned in this
// batch are dropped, if they are not yet in the reply.
func (h *host) start(instance uint16, now decision.Micros, record simwire.Record) error {
	s, err := settings.ParseText(record.SettingsText)
	if err != nil {
		return fmt.Errorf("instance %d: %w", instance, err)
	}
	h.actions = h.actions[:0]
	h.balancers[instance] = decision.New(s.Decision, record.Seed, now)
	return nil
}

// stop removes the instance's balancer. Actions that it has returned in this batch are dropped, if they are not yet in
// the reply.
func (h *host) stop(instance uint16) {
	delete(h.balancers, instance)
	h.actions = h.actions[:0]
}

// listUpdate returns the event that gives a list to an instance. The event has no entries if it reports a failure of
// discovery.
func (h *host) listUpdate(record simwire.Record) (decision.Event, error) {
	update := decision.ServerListUpdate{Kind: record.ListKind}
	if record.ListKind == decision.UpdateFailed {
		return update, nil
	}
	list := h.lists[record.ListNumber]
	if !list.defined {
		return nil, fmt.Errorf("list %d: %w", record.ListNumber, errNoList)
	}
	update.Entries = list.entries
	return update, nil
}
