package main

import (
	"errors"
	"fmt"

	"spurspread/decision"
	"spurspread/internal/settings"
	"spurspread/internal/simwire"
)

// Errors of a stream whose records do not fit each other.
var (
	errNoInstance = errors.New("no instance was named before it")
	errNotStarted = errors.New("was not started")
	errNoList     = errors.New("was never sent")
)

// host has the balancers by instance, and the server lists that records refer to.
type host struct {
	balancers map[uint16]*decision.Balancer
	lists     [simwire.MaxLists]serverList
	reply     simwire.Reply
	actions   []decision.Action // of the selected instance, not in the reply yet
}

// serverList is a list that the simulator may have defined.
type serverList struct {
	defined bool
	entries []decision.ServerEntry
}

func newHost() *host { return &host{balancers: map[uint16]*decision.Balancer{}} }

// handleBatch handles the records in order, and collects the actions in the reply, instance by instance.
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

// flush adds an instance's actions to the reply.
func (h *host) flush(instance uint16) error {
	err := h.reply.Add(instance, h.actions)
	h.actions = h.actions[:0]
	return err
}

// handleRecord handles a record for an instance.
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
		return fmt.Errorf("instance %d %w", instance, errNotStarted)
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

// start gives the instance a new balancer. What an earlier one has decided in this batch is dropped.
func (h *host) start(instance uint16, now decision.Micros, record simwire.Record) error {
	s, err := settings.ParseText(record.SettingsText)
	if err != nil {
		return fmt.Errorf("instance %d: %w", instance, err)
	}
	h.actions = h.actions[:0]
	h.balancers[instance] = decision.New(s.Decision, record.Seed, now)
	return nil
}

// stop removes the instance's balancer. What it has decided in this batch is dropped.
func (h *host) stop(instance uint16) {
	delete(h.balancers, instance)
	h.actions = h.actions[:0]
}

// listUpdate is the event by which an instance receives a list; without entries where discovery has failed.
func (h *host) listUpdate(record simwire.Record) (decision.Event, error) {
	update := decision.ServerListUpdate{Kind: record.ListKind}
	if record.ListKind == decision.UpdateFailed {
		return update, nil
	}
	list := h.lists[record.ListNumber]
	if !list.defined {
		return nil, fmt.Errorf("list %d %w", record.ListNumber, errNoList)
	}
	update.Entries = list.entries
	return update, nil
}
