package channel

import "encoding/binary"

// Type is a message's number (RFC 4253, section 12, and RFC 4254, section 9).
type Type byte

// The message types that are used; others are answered by Unimplemented.
const (
	Disconnect     Type = 1
	Ignore         Type = 2
	Unimplemented  Type = 3
	Debug          Type = 4
	ServiceRequest Type = 5
	ServiceAccept  Type = 6
	GlobalRequest  Type = 80
	RequestSuccess Type = 81
	RequestFailure Type = 82
	Open           Type = 90
	OpenConfirm    Type = 91
	OpenFailure    Type = 92
	WindowAdjust   Type = 93
	Data           Type = 94
	ExtendedData   Type = 95
	EOF            Type = 96
	Close          Type = 97
	Request        Type = 98
	Success        Type = 99
	Failure        Type = 100
)

// Reasons for refusing to open a channel (RFC 4254, section 5.1).
const (
	AdministrativelyProhibited uint32 = 1
	ConnectFailed              uint32 = 2
	UnknownChannelType         uint32 = 3
	ResourceShortage           uint32 = 4
)

// Reasons for ending a connection (RFC 4253, section 11.1).
const (
	ProtocolError       uint32 = 2
	ServiceNotAvailable uint32 = 7
	ByApplication       uint32 = 11
	TooManyConnections  uint32 = 12
)

// Names of the service, channel types and requests that are used.
const (
	Service   = "ssh-connection"
	Stream    = "stream@spurspread"
	Move      = "move@spurspread"
	Keepalive = "keepalive@spurspread"
)

// Message is one message of any type. Its type decides which fields are used; slices point into the packet.
type Message struct {
	Type      Type
	Channel   uint32 // the recipient's number for the channel; for Open the sender's
	Sender    uint32 // OpenConfirm: the sender's number
	Window    uint32 // Open, OpenConfirm: the initial window; WindowAdjust: bytes to add
	MaxPacket uint32 // Open, OpenConfirm: data that one message may carry to the sender
	Code      uint32 // Disconnect, OpenFailure: reason; ExtendedData: kind; Unimplemented: sequence number
	Name      []byte // ServiceRequest, ServiceAccept, GlobalRequest, Request, Open: the name
	// Data, ExtendedData: data; Open, OpenConfirm, Request, GlobalRequest: their own; OpenFailure, Disconnect:
	// description
	Data      []byte
	WantReply bool // GlobalRequest, Request
}

// reader reads the fields of a payload in order. bad is set once a field is cut off.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) u32() uint32 {
	if len(r.b) < 4 {
		r.bad = true
		return 0
	}
	v := binary.BigEndian.Uint32(r.b)
	r.b = r.b[4:]
	return v
}

func (r *reader) text() []byte {
	n := r.u32()
	if r.bad || uint64(n) > uint64(len(r.b)) {
		r.bad = true
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) flag() bool {
	if len(r.b) < 1 {
		r.bad = true
		return false
	}
	v := r.b[0] != 0
	r.b = r.b[1:]
	return v
}

func (r *reader) rest() []byte {
	v := r.b
	r.b = nil
	return v
}

// Parse parses a packet's payload. Of a type that is not used it sets Type alone, which is no error. The error is
// ErrTruncated or ErrTrailingData.
func Parse(payload []byte, m *Message) error {
	if len(payload) == 0 {
		return ErrTruncated
	}
	*m = Message{Type: Type(payload[0])}
	r := reader{b: payload[1:]}
	if !r.connectionMessage(m) && !r.channelMessage(m) {
		return nil
	}
	switch {
	case r.bad:
		return ErrTruncated
	case len(r.b) > 0:
		return ErrTrailingData
	}
	return nil
}

// connectionMessage parses a message that concerns the connection as a whole. It returns false for other types.
func (r *reader) connectionMessage(m *Message) bool {
	switch m.Type {
	case Disconnect:
		m.Code = r.u32()
		m.Data = r.text()
		r.text() // the description's language
	case Ignore:
		r.text()
	case Unimplemented:
		m.Code = r.u32()
	case Debug:
		r.flag()
		r.text()
		r.text()
	case ServiceRequest, ServiceAccept:
		m.Name = r.text()
	case GlobalRequest:
		m.Name = r.text()
		m.WantReply = r.flag()
		m.Data = r.rest()
	case RequestSuccess:
		m.Data = r.rest()
	case RequestFailure:
	default:
		return false
	}
	return true
}

// channelMessage parses a message that concerns one channel. It returns false for other types.
func (r *reader) channelMessage(m *Message) bool {
	switch m.Type {
	case Open:
		m.Name = r.text()
		m.Channel = r.u32()
		m.Window = r.u32()
		m.MaxPacket = r.u32()
		m.Data = r.rest()
	case OpenConfirm:
		m.Channel = r.u32()
		m.Sender = r.u32()
		m.Window = r.u32()
		m.MaxPacket = r.u32()
		m.Data = r.rest()
	case OpenFailure:
		m.Channel = r.u32()
		m.Code = r.u32()
		m.Data = r.text()
		r.text() // the description's language
	case WindowAdjust:
		m.Channel = r.u32()
		m.Window = r.u32()
	case Data:
		m.Channel = r.u32()
		m.Data = r.text()
	case ExtendedData:
		m.Channel = r.u32()
		m.Code = r.u32()
		m.Data = r.text()
	case EOF, Close, Success, Failure:
		m.Channel = r.u32()
	case Request:
		m.Channel = r.u32()
		m.Name = r.text()
		m.WantReply = r.flag()
		m.Data = r.rest()
	default:
		return false
	}
	return true
}

// ParseString parses a string that is all of b, as the data of Open is. The error is ErrTruncated or ErrTrailingData.
func ParseString(b []byte) ([]byte, error) {
	r := reader{b: b}
	v := r.text()
	switch {
	case r.bad:
		return nil, ErrTruncated
	case len(r.b) > 0:
		return nil, ErrTrailingData
	}
	return v, nil
}

// Append appends a message to dst as one packet.
func Append(dst []byte, m *Message) []byte {
	dst, at := BeginPacket(dst)
	dst = append(dst, byte(m.Type))
	switch m.Type {
	case Disconnect:
		dst = u32(dst, m.Code)
		dst = text(text(dst, m.Data), nil)
	case Ignore:
		dst = text(dst, m.Data)
	case Unimplemented:
		dst = u32(dst, m.Code)
	case Debug:
		dst = text(text(append(dst, 0), m.Data), nil)
	case ServiceRequest, ServiceAccept:
		dst = text(dst, m.Name)
	case GlobalRequest:
		dst = append(flag(text(dst, m.Name), m.WantReply), m.Data...)
	case RequestSuccess:
		dst = append(dst, m.Data...)
	case Open:
		dst = u32(u32(u32(text(dst, m.Name), m.Channel), m.Window), m.MaxPacket)
		dst = append(dst, m.Data...)
	case OpenConfirm:
		dst = u32(u32(u32(u32(dst, m.Channel), m.Sender), m.Window), m.MaxPacket)
		dst = append(dst, m.Data...)
	case OpenFailure:
		dst = text(text(u32(u32(dst, m.Channel), m.Code), m.Data), nil)
	case WindowAdjust:
		dst = u32(u32(dst, m.Channel), m.Window)
	case Data:
		dst = text(u32(dst, m.Channel), m.Data)
	case ExtendedData:
		dst = text(u32(u32(dst, m.Channel), m.Code), m.Data)
	case EOF, Close, Success, Failure:
		dst = u32(dst, m.Channel)
	case Request:
		dst = append(flag(text(u32(dst, m.Channel), m.Name), m.WantReply), m.Data...)
	}
	return EndPacket(dst, at)
}

func u32(dst []byte, v uint32) []byte { return binary.BigEndian.AppendUint32(dst, v) }

func text(dst, v []byte) []byte { return append(u32(dst, uint32(len(v))), v...) }

func flag(dst []byte, v bool) []byte {
	if v {
		return append(dst, 1)
	}
	return append(dst, 0)
}

// AppendString appends a string to dst, in the form that String parses.
func AppendString(dst, v []byte) []byte { return text(dst, v) }
