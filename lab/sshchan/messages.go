package sshchan

// The messages, with the struct tags of golang.org/x/crypto/ssh.
type (
	disconnectMsg struct {
		Reason            uint32 `sshtype:"1"`
		Message, Language string
	}
	serviceRequestMsg struct {
		Service string `sshtype:"5"`
	}
	serviceAcceptMsg struct {
		Service string `sshtype:"6"`
	}
	globalRequestMsg struct {
		Type      string `sshtype:"80"`
		WantReply bool
		Data      []byte `ssh:"rest"`
	}
	requestSuccessMsg struct {
		Data []byte `ssh:"rest" sshtype:"81"`
	}
	openMsg struct {
		Type                  string `sshtype:"90"`
		ID, Window, MaxPacket uint32
		Line                  string
	}
	confirmMsg struct {
		ID, Sender, Window, MaxPacket uint32 `sshtype:"91"`
		Data                          []byte `ssh:"rest"`
	}
	failureMsg struct {
		ID, Reason        uint32 `sshtype:"92"`
		Message, Language string
	}
	adjustMsg struct {
		ID, Bytes uint32 `sshtype:"93"`
	}
	eofMsg struct {
		ID uint32 `sshtype:"96"`
	}
	closeMsg struct {
		ID uint32 `sshtype:"97"`
	}
	requestMsg struct {
		ID        uint32 `sshtype:"98"`
		Type      string
		WantReply bool
		Token     string
	}
	requestFailureMsg struct {
		ID uint32 `sshtype:"100"`
	}
)

// The numbers of the messages (RFC 4250, section 4.1.2).
const (
	numDisconnect     = 1
	numIgnore         = 2
	numUnimplemented  = 3
	numDebug          = 4
	numGlobalRequest  = 80
	numRequestSuccess = 81
	numRequestFailure = 82
	numOpen           = 90
	numConfirm        = 91
	numFailure        = 92
	numAdjust         = 93
	numData           = 94
	numEOF            = 96
	numClose          = 97
	numRequest        = 98
)

// Names and codes from docs/protocol/channels.md.
const (
	identification       = "SSH-2.0-spurlab\r\n"
	identificationPrefix = "SSH-2.0-" // beginning of a valid identification line
	serviceName          = "ssh-connection"
	channelType          = "stream@spurspread"
	moveRequest          = "move@spurspread"
	keepaliveRequest     = "keepalive@spurspread"

	// ResourceShortage is the code of a refusal after which the client may try again.
	ResourceShortage uint32 = 4
	// ConnectFailed is the code of a final refusal.
	ConnectFailed uint32 = 2
)

// Sizes of packets (RFC 4253, section 6) and messages, in bytes.
const (
	maxPacket          = 35_000
	packetHeaderBytes  = 5 // the length of a packet, and the length of its padding
	lengthBytes        = 4
	blockBytes         = 8 // the total length of a packet is a multiple of it
	minPadding         = 4
	minPacketLength    = 12 // minimum of the length field, which does not count itself
	channelHeaderBytes = 5  // the message number and recipient of a channel message
	dataHeaderBytes    = 9  // the message number, the recipient and the data's length of a DATA message
	maxDataBytes       = 16 << 10
	maxChannelPacket   = 32 << 10 // maximum size of a message that this side accepts on a channel
)
