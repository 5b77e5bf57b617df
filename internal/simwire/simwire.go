// Package wire reads and writes the frames, records, tails and settings by which a balancer's host speaks to it.
// It knows no policy: it turns bytes into the events of package logic, and its actions into bytes.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"spurspread/decision"
	"spurspread/decision/outcome"
)

const (
	headerSize     = 20
	eventSize      = 40
	actionSize     = 16
	entrySize      = 22
	maxFrame       = 1 << 28
	readStep       = 1 << 20
	minBatchLength = 12 // what of a batch's header its length field counts
	minReplyLength = 4
	replyHeader    = 12
)

// Event codes.
const (
	evBoot        = 1000
	evElapsed     = 1010
	evOutcome     = 1020
	evWithdrawn   = 1030
	evPowerOff    = 1040
	evHead        = 1050
	evNoteFrom    = 1060
	evChange      = 1070
	evInbound     = 1080
	evCensus      = 1090
	evOpen        = 1100
	evUpdate      = 1110
	evTarget      = 1120
	evCheckResult = 1130
)

// Action codes.
const (
	acWatch    = 1000
	acSnapshot = 1010
	acReject   = 1020
	acShift    = 1030
	acIssue    = 1040
	acTouch    = 1060
	acAbort    = 1070
	acRecall   = 1090
	acInstance = 1120
	acTimer    = 1130
)

// Flags of a request.
const (
	flagHint     = 1
	flagRetry    = 2
	flagMidFlow  = 8
	flagReturned = 16
)

var statusByCode = map[uint16]outcome.Status{
	200: outcome.OK, 500: outcome.ErrorResponse, 503: outcome.ServerFull, 504: outcome.TimedOut,
	502: outcome.ConnectFailed, 598: outcome.Reset, 499: outcome.Cancelled, 410: outcome.Inconclusive,
}

var le = binary.LittleEndian

// Batch is one frame of events.
type Batch struct {
	Sequence uint32
	Count    int
	Now      decision.Micros
	records  []byte
	tail     []byte
}

// Reader reads batches from a stream; it reuses its buffer, so a batch is good until the next one is read.
type Reader struct {
	source io.Reader
	buf    []byte
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{source: r} }

// Next reads one batch. It returns io.EOF when the stream ends between two frames.
func (rd *Reader) Next() (Batch, error) {
	var h [headerSize]byte
	n, err := io.ReadFull(rd.source, h[:])
	if err == io.EOF {
		return Batch{}, io.EOF
	}
	if err != nil {
		return Batch{}, fmt.Errorf("header cut short after %d of %d bytes: %w", n, headerSize, err)
	}
	b := Batch{Sequence: le.Uint32(h[0:]), Count: int(le.Uint32(h[8:])), Now: decision.Micros(le.Uint64(h[12:]))}
	length := int(le.Uint32(h[4:]))
	if length < minBatchLength || length > maxFrame {
		return Batch{}, fmt.Errorf(
			"batch %d: length %d is not within %d to %d",
			b.Sequence,
			length,
			minBatchLength,
			maxFrame,
		)
	}
	if b.Now < 0 {
		return Batch{}, fmt.Errorf("batch %d: clock %d is past what a clock can show", b.Sequence, uint64(b.Now))
	}
	rest := length - minBatchLength
	if b.Count > rest/eventSize {
		return Batch{}, fmt.Errorf("batch %d: %d records of %d bytes do not fit in %d bytes",
			b.Sequence, b.Count, eventSize, rest)
	}
	if err := rd.fill(rest); err != nil {
		return Batch{}, fmt.Errorf("batch %d: frame cut short: %w", b.Sequence, err)
	}
	b.records, b.tail = rd.buf[:b.Count*eventSize], rd.buf[b.Count*eventSize:]
	return b, nil
}

// fill reads n bytes into the buffer, growing it as they come, so that a lying length costs no memory.
func (rd *Reader) fill(n int) error {
	rd.buf = rd.buf[:0]
	for len(rd.buf) < n {
		step := min(n-len(rd.buf), readStep)
		have := len(rd.buf)
		if cap(rd.buf) < have+step {
			grown := make([]byte, have, max(2*cap(rd.buf), have+step))
			copy(grown, rd.buf)
			rd.buf = grown
		}
		rd.buf = rd.buf[:have+step]
		got, err := io.ReadFull(rd.source, rd.buf[have:])
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return fmt.Errorf("%d of %d bytes: %w", have+got, n, err)
		}
	}
	return nil
}

// Record is one event record of a batch, decoded as far as its code goes.
type Record struct {
	// Exactly one of these is set, as Kind tells.
	Kind       RecordKind
	Instance   uint16                 // Target
	ListNumber uint8                  // Census, Update
	Entries    []decision.ServerEntry // Census
	Seed       uint64                 // Boot
	Text       []byte                 // Boot: the settings
	ListKind   decision.UpdateKind    // Update
	Event      decision.Event         // Plain
}

// RecordKind tells records that the host must act on from those that are events for a balancer.
type RecordKind uint8

// The kinds of records.
const (
	SelectInstance RecordKind = iota
	ServerList
	Start
	Stop
	ListUpdate
	BalancerEvent
	Ignored // a record that no balancer here has use for
)

// Record decodes record i of the batch.
func (b Batch) Record(i int) (Record, error) {
	rec := b.records[i*eventSize : (i+1)*eventSize]
	r, err := b.decode(rec)
	if err != nil {
		return r, fmt.Errorf("batch %d, record %d (code %d): %w", b.Sequence, i, le.Uint16(rec), err)
	}
	return r, nil
}

func (b Batch) decode(rec []byte) (Record, error) {
	switch code := le.Uint16(rec); code {
	case evTarget:
		return Record{Kind: SelectInstance, Instance: le.Uint16(rec[2:])}, checkPadding(rec, 4)
	case evCensus:
		entries, err := b.serverEntries(rec[3:])
		if err == nil && rec[2] > 15 {
			err = fmt.Errorf("list number %d is over 15", rec[2])
		}
		return Record{Kind: ServerList, ListNumber: rec[2], Entries: entries}, errors.Join(err, checkPadding(rec, 11))
	case evBoot:
		text, err := b.tailBytes(rec[10:])
		return Record{Kind: Start, Seed: le.Uint64(rec[2:]), Text: text}, errors.Join(err, checkPadding(rec, 18))
	case evPowerOff:
		return Record{Kind: Stop}, checkPadding(rec, 2)
	case evUpdate:
		if rec[3] > uint8(decision.UpdateFailed) || rec[2] > 15 {
			return Record{}, fmt.Errorf("list %d of kind %d is neither", rec[2], rec[3])
		}
		return Record{
			Kind:       ListUpdate,
			ListNumber: rec[2],
			ListKind:   decision.UpdateKind(rec[3]),
		}, checkPadding(
			rec,
			12,
		)
	case evNoteFrom:
		_, err := b.tailBytes(rec[6:])
		return Record{Kind: Ignored}, errors.Join(err, checkPadding(rec, 14))
	default:
		ev, used, err := balancerEvent(code, rec)
		if err != nil {
			return Record{}, err
		}
		return Record{Kind: BalancerEvent, Event: ev}, checkPadding(rec, used)
	}
}

// balancerEvent decodes the records that are events of one balancer; used is the length of their fields.
func balancerEvent(code uint16, rec []byte) (ev decision.Event, used int, err error) {
	switch code {
	case evElapsed:
		return decision.TimerFired{Token: decision.TimerToken(le.Uint64(rec[2:]))}, 10, nil
	case evWithdrawn:
		return decision.RequestCancelled{ID: le.Uint32(rec[2:])}, 6, nil
	case evHead:
		return decision.Established{
			ID: le.Uint32(rec[2:]), Attempt: int(rec[6]), Server: le.Uint32(rec[7:]),
			SetupTime: micros(rec[11:]),
		}, 15, nil
	case evChange:
		return decision.ConnectionMetric{
			ID: le.Uint32(rec[2:]), Attempt: int(rec[6]), Server: le.Uint32(rec[7:]),
			Kind: decision.MetricKind(rec[11]), Value: float64(math.Float32frombits(le.Uint32(rec[12:]))),
		}, 16, nil
	case evOutcome:
		st, load, err := outcomeAndLoad(rec[11:], rec[18:])
		return decision.AttemptEnded{
			ID: le.Uint32(rec[2:]), Attempt: int(rec[6]), Server: le.Uint32(rec[7:]), Status: st,
			Duration: micros(rec[13:]), RequestClosed: rec[17] != 0, LoadReport: load,
		}, 35, err
	case evCheckResult:
		st, load, err := outcomeAndLoad(rec[6:], rec[12:])
		return decision.ProbeResult{
			Server:     le.Uint32(rec[2:]),
			Status:     st,
			Duration:   micros(rec[8:]),
			LoadReport: load,
		}, 29, err
	case evInbound:
		return request(
			rec[2:6],
			rec[6:10],
			rec[10:12],
			rec[12:20],
			rec[20:22],
			rec[22:26],
			rec[26],
			rec[27:35],
		), 35, nil
	case evOpen:
		q := request(rec[2:6], rec[18:22], rec[6:8], rec[26:34], rec[8:10], rec[22:26], rec[34], rec[10:18])
		return decision.ExistingConnection{Request: q, Server: le.Uint32(rec[35:])}, 39, nil
	}
	return nil, 0, errors.New("no such event")
}

func request(id, left, class, group, tenant, hint []byte, marks byte, key []byte) decision.Request {
	return decision.Request{
		ID: le.Uint32(id), TimeLeft: micros(left), Class: int(le.Uint16(class)), Tenant: int(le.Uint16(tenant)),
		Key: le.Uint64(
			key,
		), Group: le.Uint64(group), LoadHint: float64(le.Uint32(hint)), HasLoadHint: marks&flagHint != 0,
		Retry: marks&flagRetry != 0, MidConnection: marks&flagMidFlow != 0, Reconnected: marks&flagReturned != 0,
	}
}

func micros(p []byte) decision.Micros { return decision.Micros(le.Uint32(p)) }

func outcomeAndLoad(code, load []byte) (outcome.Status, decision.LoadReport, error) {
	st, ok := statusByCode[le.Uint16(code)]
	if !ok {
		return st, decision.LoadReport{}, fmt.Errorf("outcome code %d is none of those known", le.Uint16(code))
	}
	r := decision.LoadReport{Count: int(load[0])}
	if r.Count > len(r.Values) {
		return st, r, fmt.Errorf("load report of %d values, %d at most", r.Count, len(r.Values))
	}
	for i := range r.Count {
		r.Values[i] = math.Float32frombits(le.Uint32(load[1+4*i:]))
	}
	return st, r, nil
}

func checkPadding(rec []byte, from int) error {
	for i := from; i < len(rec); i++ {
		if rec[i] != 0 {
			return fmt.Errorf("byte %d is padding but not zero", i)
		}
	}
	return nil
}

// tailItems checks that count items of size bytes, at the offset that ref names, lie within the tail.
func (b Batch) tailItems(ref []byte, size int) ([]byte, error) {
	off, count := uint64(le.Uint32(ref)), uint64(le.Uint32(ref[4:]))
	if end := off + count*uint64(size); end > uint64(len(b.tail)) {
		return nil, fmt.Errorf("%d items of %d bytes at offset %d pass the end of the tail of %d bytes",
			count, size, off, len(b.tail))
	}
	return b.tail[off : off+count*uint64(size)], nil
}

func (b Batch) tailBytes(ref []byte) ([]byte, error) { return b.tailItems(ref, 1) }

func (b Batch) serverEntries(ref []byte) ([]decision.ServerEntry, error) {
	raw, err := b.tailItems(ref, entrySize)
	if err != nil {
		return nil, err
	}
	out := make([]decision.ServerEntry, len(raw)/entrySize)
	for i := range out {
		e := raw[i*entrySize:]
		if e[7] > uint8(decision.Ready) {
			return nil, fmt.Errorf("entry %d: state %d is none of those known", i, e[7])
		}
		out[i] = decision.ServerEntry{
			Server: le.Uint32(
				e,
			), StableID: uint64(le.Uint32(e)), Zone: e[4], MachineType: le.Uint16(e[5:]), State: decision.ServerState(e[7]),
			Weight: float64(math.Float32frombits(le.Uint32(e[8:]))), Cell: le.Uint16(e[12:]),
			StartedAt: decision.Micros(le.Uint64(e[14:])),
		}
		if out[i].StartedAt < 0 {
			return nil, fmt.Errorf("entry %d: start time is past what a clock can show", i)
		}
	}
	return out, nil
}

// Reply collects the actions that answer one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Begin starts the reply to batch seq.
func (r *Reply) Begin(seq uint32) {
	r.buf = append(r.buf[:0], make([]byte, replyHeader)...)
	r.count = 0
	le.PutUint32(r.buf, seq)
}

// Bytes returns the finished frame.
func (r *Reply) Bytes() []byte {
	le.PutUint32(r.buf[4:], uint32(len(r.buf)-replyHeader+minReplyLength))
	le.PutUint32(r.buf[8:], r.count)
	return r.buf
}

// Add writes the actions of one instance.
func (r *Reply) Add(who uint16, actions []decision.Action) error {
	if len(actions) == 0 {
		return nil
	}
	le.PutUint16(r.record(acInstance)[2:], who)
	for _, a := range actions {
		switch a := a.(type) {
		case decision.WatchDiscovery:
			if rec := r.record(acWatch); a.On {
				rec[2] = 1
			}
		case decision.FetchServerList:
			r.record(acSnapshot)
		case decision.StartAttempt:
			rec := r.record(acIssue)
			le.PutUint32(rec[2:], a.ID)
			le.PutUint32(rec[6:], clampU32(a.Timeout))
			le.PutUint32(rec[10:], a.Server)
		case decision.Reject:
			rec := r.record(acReject)
			le.PutUint32(rec[2:], a.ID)
			le.PutUint32(rec[6:], clampU32(a.RetryAfter))
		case decision.Fail:
			le.PutUint32(r.record(acAbort)[2:], a.ID)
		case decision.CancelAttempt:
			rec := r.record(acRecall)
			le.PutUint32(rec[2:], a.ID)
			rec[6] = uint8(a.Attempt)
		case decision.MoveConnection:
			le.PutUint32(r.record(acShift)[2:], a.ID)
		case decision.ProbeServer:
			le.PutUint32(r.record(acTouch)[2:], a.Server)
		case decision.SetTimer:
			rec := r.record(acTimer)
			le.PutUint32(rec[2:], clampU32(a.Delay))
			le.PutUint64(rec[6:], uint64(a.Token))
		default:
			return fmt.Errorf("action %T has no record on the wire", a)
		}
	}
	return nil
}

func (r *Reply) record(code uint16) []byte {
	at := len(r.buf)
	r.buf = append(r.buf, make([]byte, actionSize)...)
	r.count++
	le.PutUint16(r.buf[at:], code)
	return r.buf[at:]
}

func clampU32(v decision.Micros) uint32 {
	return uint32(min(max(v, 0), math.MaxUint32))
}
