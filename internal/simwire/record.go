package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"

	"spurspread/decision"
)

// MaxLists is the number of server lists that can be defined; they are numbered from 0.
const MaxLists = 16

// Codes of event records. The comments give the simulator's own names.
const (
	eventStart              = 1000 // boot
	eventTimerFired         = 1010 // elapsed
	eventAttemptEnded       = 1020 // outcome
	eventRequestCancelled   = 1030 // withdrawn
	eventStop               = 1040 // power off
	eventEstablished        = 1050 // head
	eventPeerMessage        = 1060 // note from
	eventConnectionMetric   = 1070 // change
	eventRequest            = 1080 // inbound
	eventServerList         = 1090 // census
	eventExistingConnection = 1100 // open
	eventListUpdate         = 1110 // update
	eventSelectInstance     = 1120 // target
	eventProbeResult        = 1130 // check result
)

// Record is one event record of a batch. The comment of each field names the kinds of records that set it.
type Record struct {
	Kind         RecordKind
	Instance     uint16                 // SelectInstance
	ListNumber   uint8                  // ServerList, ListUpdate; below MaxLists
	Entries      []decision.ServerEntry // ServerList
	Seed         uint64                 // Start
	SettingsText []byte                 // Start: the settings as text; points into the batch
	ListKind     decision.UpdateKind    // ListUpdate
	Event        decision.Event         // BalancerEvent
}

// RecordKind is the purpose of a record.
type RecordKind uint8

// The kinds of records.
const (
	SelectInstance RecordKind = iota // the following records are for this instance
	ServerList                       // defines a server list by number, for all instances
	Start                            // starts the instance
	Stop                             // stops the instance
	ListUpdate                       // the instance receives a server list that was defined before
	BalancerEvent                    // an event for the instance's balancer
	Ignored                          // a record that the balancers do not use
)

// Record decodes record i of the batch, counted from 0. It returns an error that wraps ErrMalformedRecord or
// ErrUnknownEvent and names the batch, the record and its code.
func (b Batch) Record(i int) (Record, error) {
	record := b.records[i*eventSize : (i+1)*eventSize]
	r, err := b.decode(record)
	if err != nil {
		code := binary.LittleEndian.Uint16(record)
		return r, fmt.Errorf("batch %d, record %d (code %d): %w", b.Sequence, i, code, err)
	}
	return r, nil
}

func (b Batch) decode(record []byte) (Record, error) {
	f := &fields{bytes: record}
	switch code := f.uint16(); code {
	case eventSelectInstance:
		return Record{Kind: SelectInstance, Instance: f.uint16()}, f.checkPadding()
	case eventStop:
		return Record{Kind: Stop}, f.checkPadding()
	case eventServerList:
		return b.decodeServerList(f)
	case eventStart:
		return b.decodeStart(f)
	case eventListUpdate:
		return decodeListUpdate(f)
	case eventPeerMessage:
		return b.decodePeerMessage(f)
	default:
		event, err := decodeEvent(code, f)
		if err != nil {
			return Record{}, err
		}
		return Record{Kind: BalancerEvent, Event: event}, f.checkPadding()
	}
}

func (b Batch) decodeServerList(f *fields) (Record, error) {
	r := Record{Kind: ServerList, ListNumber: f.uint8()}
	var err error
	r.Entries, err = b.decodeEntries(f.reference())
	if err == nil && r.ListNumber >= MaxLists {
		err = fmt.Errorf("%w: list number %d is over the maximum of %d", ErrMalformedRecord, r.ListNumber, MaxLists-1)
	}
	return r, errors.Join(err, f.checkPadding())
}

func (b Batch) decodeStart(f *fields) (Record, error) {
	r := Record{Kind: Start, Seed: f.uint64()}
	var err error
	r.SettingsText, err = b.tailItems(f.reference(), 1)
	return r, errors.Join(err, f.checkPadding())
}

func decodeListUpdate(f *fields) (Record, error) {
	r := Record{Kind: ListUpdate, ListNumber: f.uint8(), ListKind: decision.UpdateKind(f.uint8())}
	if r.ListKind > decision.UpdateFailed || r.ListNumber >= MaxLists {
		return Record{}, fmt.Errorf("%w: list number %d or update kind %d is out of range",
			ErrMalformedRecord, r.ListNumber, r.ListKind)
	}
	_ = f.uint64() // the list's generation, which the balancers do not use
	return r, f.checkPadding()
}

func (b Batch) decodePeerMessage(f *fields) (Record, error) {
	_ = f.uint32() // the sender
	_, err := b.tailItems(f.reference(), 1)
	return Record{Kind: Ignored}, errors.Join(err, f.checkPadding())
}

func (b Batch) decodeEntries(list reference) ([]decision.ServerEntry, error) {
	items, err := b.tailItems(list, entrySize)
	if err != nil {
		return nil, err
	}
	entries := make([]decision.ServerEntry, len(items)/entrySize)
	for i := range entries {
		entry, err := decodeEntry(items[i*entrySize : (i+1)*entrySize])
		if err != nil {
			return nil, fmt.Errorf("%w: entry %d: %w", ErrMalformedRecord, i, err)
		}
		entries[i] = entry
	}
	return entries, nil
}

func decodeEntry(item []byte) (decision.ServerEntry, error) {
	f := &fields{bytes: item}
	server := f.uint32()
	entry := decision.ServerEntry{
		Server:      server,
		StableID:    uint64(server),
		Zone:        uint32(f.uint8()),
		MachineType: f.uint16(),
		State:       decision.ServerState(f.uint8()),
		Weight:      float64(f.float32()),
		Cell:        uint64(f.uint16()),
		StartedAt:   decision.Micros(f.uint64()),
	}
	if entry.State > decision.Ready {
		return entry, fmt.Errorf("unknown server state %d", entry.State)
	}
	if entry.StartedAt < 0 {
		return entry, errors.New("start time is out of range")
	}
	return entry, nil
}
