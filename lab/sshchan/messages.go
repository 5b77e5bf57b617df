package sshchan

// The messages, in the form of golang.org/x/crypto/ssh.
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

// The messages' numbers (RFC 4250, section 4.1.2).
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

// Names and codes of docs/protocol/channels.md.
const (
	identification       = "SSH-2.0-spurlab\r\n"
	identificationPrefix = "SSH-2.0-" // begins the peer's identification
	serviceName          = "ssh-connection"
	channelType          = "stream@spurspread"
	moveRequest          = "move@spurspread"
	keepaliveRequest     = "keepalive@spurspread"

	// ResourceShortage is the code of a refusal for now.
	ResourceShortage uint32 = 4
	// ConnectFailed is the code of a refusal for good.
	ConnectFailed uint32 = 2
)

// Sizes of packets (RFC 4253, section 6) and messages, in bytes.
const (
	maxPacket          = 35_000
	packetHeaderBytes  = 5 // a packet's length and the length of its padding
	lengthBytes        = 4
	blockBytes         = 8 // packets are multiples of it
	minPadding         = 4
	minPacketLength    = 12 // as its length field has it
	channelHeaderBytes = 5  // a channel message's number and recipient
	dataHeaderBytes    = 9  // the same, and the data's length
	maxDataBytes       = 16 << 10
	maxChannelPacket   = 32 << 10 // that is granted on a channel
)
