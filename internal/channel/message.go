package channel

import "encoding/binary"

// Type is a message's number (RFC 4253, section 12, and RFC 4254, section 9).
type Type byte

// The message types that are used. A message of any other type is answered with Unimplemented.
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

// Reasons of OpenFailure (RFC 4254, section 5.1).
const (
	AdministrativelyProhibited uint32 = 1
	ConnectFailed              uint32 = 2
	UnknownChannelType         uint32 = 3
	ResourceShortage           uint32 = 4
)

// Reasons of Disconnect (RFC 4253, section 11.1).
const (
	ProtocolError       uint32 = 2
	ServiceNotAvailable uint32 = 7
	ByApplication       uint32 = 11
	TooManyConnections  uint32 = 12
)

// Names that messages of these types carry.
const (
	Service   = "ssh-connection"       // ServiceRequest, ServiceAccept: the only service
	Stream    = "stream@spurspread"    // Open: the only channel type
	Move      = "move@spurspread"      // Request: asks the recipient to move the stream elsewhere
	Keepalive = "keepalive@spurspread" // GlobalRequest: a probe of an idle connection
)

// Message is a message of any type. Each field is used by the types that its comment names. The slices of a parsed
// message point into the packet.
type Message struct {
	Type      Type
	Channel   uint32 // the channel's number at the recipient; for Open, at the sender
	Sender    uint32 // OpenConfirm: the channel's number at the sender
	Window    uint32 // Open, OpenConfirm: the initial window in bytes; WindowAdjust: bytes to add
	MaxPacket uint32 // Open, OpenConfirm: the most bytes of data that the sender accepts in one message
	Code      uint32 // Disconnect, OpenFailure: reason; ExtendedData: kind; Unimplemented: sequence number
	Name      []byte // ServiceRequest, ServiceAccept, GlobalRequest, Request, Open: the name
	// Data, ExtendedData: the data; Open, OpenConfirm, Request, GlobalRequest, RequestSuccess: data specific to the
	// type; OpenFailure, Disconnect: the description; Ignore, Debug: the text, which Append writes and Parse skips
	Data      []byte
	WantReply bool // GlobalRequest, Request
}

// reader reads the fields of a payload in order. truncated is set if the payload ends within a field.
type reader struct {
	b         []byte
	truncated bool
}

func (r *reader) readUint32() uint32 {
	if len(r.b) < 4 {
		r.truncated = true
		return 0
	}
	v := binary.BigEndian.Uint32(r.b)
	r.b = r.b[4:]
	return v
}

func (r *reader) readString() []byte {
	n := r.readUint32()
	if r.truncated || uint64(n) > uint64(len(r.b)) {
		r.truncated = true
		return nil
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) readBool() bool {
	if len(r.b) < 1 {
		r.truncated = true
		return false
	}
	v := r.b[0] != 0
	r.b = r.b[1:]
	return v
}

func (r *reader) readRest() []byte {
	v := r.b
	r.b = nil
	return v
}

// Parse parses a packet's payload into m. For a type that is not used it sets only Type, without an error. The error is
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
	case r.truncated:
		return ErrTruncated
	case len(r.b) > 0:
		return ErrTrailingData
	}
	return nil
}

// connectionMessage parses the fields of a message about the connection as a whole. It returns false for other types.
func (r *reader) connectionMessage(m *Message) bool {
	switch m.Type {
	case Disconnect:
		m.Code = r.readUint32()
		m.Data = r.readString()
		r.readString() // the description's language
	case Ignore:
		r.readString()
	case Unimplemented:
		m.Code = r.readUint32()
	case Debug:
		r.readBool()
		r.readString()
		r.readString()
	case ServiceRequest, ServiceAccept:
		m.Name = r.readString()
	case GlobalRequest:
		m.Name = r.readString()
		m.WantReply = r.readBool()
		m.Data = r.readRest()
	case RequestSuccess:
		m.Data = r.readRest()
	case RequestFailure:
	default:
		return false
	}
	return true
}

// channelMessage parses the fields of a message about one channel. It returns false for other types.
func (r *reader) channelMessage(m *Message) bool {
	switch m.Type {
	case Open:
		m.Name = r.readString()
		m.Channel = r.readUint32()
		m.Window = r.readUint32()
		m.MaxPacket = r.readUint32()
		m.Data = r.readRest()
	case OpenConfirm:
		m.Channel = r.readUint32()
		m.Sender = r.readUint32()
		m.Window = r.readUint32()
		m.MaxPacket = r.readUint32()
		m.Data = r.readRest()
	case OpenFailure:
		m.Channel = r.readUint32()
		m.Code = r.readUint32()
		m.Data = r.readString()
		r.readString() // the description's language
	case WindowAdjust:
		m.Channel = r.readUint32()
		m.Window = r.readUint32()
	case Data:
		m.Channel = r.readUint32()
		m.Data = r.readString()
	case ExtendedData:
		m.Channel = r.readUint32()
		m.Code = r.readUint32()
		m.Data = r.readString()
	case EOF, Close, Success, Failure:
		m.Channel = r.readUint32()
	case Request:
		m.Channel = r.readUint32()
		m.Name = r.readString()
		m.WantReply = r.readBool()
		m.Data = r.readRest()
	default:
		return false
	}
	return true
}

// ParseString returns the string that b holds and nothing else, such as the data of Open. The error is ErrTruncated or
// ErrTrailingData.
func ParseString(b []byte) ([]byte, error) {
	r := reader{b: b}
	v := r.readString()
	switch {
	case r.truncated:
		return nil, ErrTruncated
	case len(r.b) > 0:
		return nil, ErrTrailingData
	}
	return v, nil
}

// Append appends a message to dst as one packet.
func Append(dst []byte, m *Message) []byte {
	dst, start := BeginPacket(dst)
	dst = append(dst, byte(m.Type))
	switch m.Type {
	case Disconnect:
		dst = appendUint32(dst, m.Code)
		dst = appendString(appendString(dst, m.Data), nil)
	case Ignore:
		dst = appendString(dst, m.Data)
	case Unimplemented:
		dst = appendUint32(dst, m.Code)
	case Debug:
		dst = appendString(appendString(append(dst, 0), m.Data), nil)
	case ServiceRequest, ServiceAccept:
		dst = appendString(dst, m.Name)
	case GlobalRequest:
		dst = append(appendBool(appendString(dst, m.Name), m.WantReply), m.Data...)
	case RequestSuccess:
		dst = append(dst, m.Data...)
	case Open:
		dst = appendUint32(appendUint32(appendUint32(appendString(dst, m.Name), m.Channel), m.Window), m.MaxPacket)
		dst = append(dst, m.Data...)
	case OpenConfirm:
		dst = appendUint32(appendUint32(appendUint32(appendUint32(dst, m.Channel), m.Sender), m.Window), m.MaxPacket)
		dst = append(dst, m.Data...)
	case OpenFailure:
		dst = appendString(appendString(appendUint32(appendUint32(dst, m.Channel), m.Code), m.Data), nil)
	case WindowAdjust:
		dst = appendUint32(appendUint32(dst, m.Channel), m.Window)
	case Data:
		dst = appendString(appendUint32(dst, m.Channel), m.Data)
	case ExtendedData:
		dst = appendString(appendUint32(appendUint32(dst, m.Channel), m.Code), m.Data)
	case EOF, Close, Success, Failure:
		dst = appendUint32(dst, m.Channel)
	case Request:
		dst = append(appendBool(appendString(appendUint32(dst, m.Channel), m.Name), m.WantReply), m.Data...)
	}
	return EndPacket(dst, start)
}

func appendUint32(dst []byte, v uint32) []byte { return binary.BigEndian.AppendUint32(dst, v) }

func appendString(dst, v []byte) []byte { return append(appendUint32(dst, uint32(len(v))), v...) }

func appendBool(dst []byte, v bool) []byte {
	if v {
		return append(dst, 1)
	}
	return append(dst, 0)
}

// AppendString appends a string to dst, in the format that ParseString parses.
func AppendString(dst, v []byte) []byte { return appendString(dst, v) }
