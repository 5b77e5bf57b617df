package sshchan

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"golang.org/x/crypto/ssh"
)

var (
	// errReset is the end of a channel that was closed without EOF.
	errReset = errors.New("channel closed without its end")
	// errInvalidData is the end of a connection with data that may not be sent.
	errInvalidData = errors.New("DATA is malformed")
)

// Channel is one channel, a stream of bytes without deadlines. Its methods may be called from any goroutine.
type Channel struct {
	Line string // its first line

	conn   *Conn
	number uint32 // by which the peer addresses it
	answer chan Answer

	// The connection's mutex guards all below.
	peerNumber     uint32
	sendWindow     uint32 // bytes that the peer takes
	maxPacket      uint32 // bytes of one message that the peer takes
	receiveWindow  uint32 // bytes that the peer was granted and has not sent
	received       []byte // not yet read
	readable       sync.Cond
	err            error   // what Read returns after the received bytes
	moveToken      *string // of the peer's move; nil: not moved
	confirmed      bool    // by either side
	answered       bool    // answer is closed
	closeSent      bool
	eofSent        bool
	withholdCredit bool // no window is granted, so that the peer stalls
}

// Answer is the answer to an open.
type Answer struct {
	Up   bool
	Code uint32 // of a refusal: Shortage or Failed
	Line string // of UP, or the refusal's text
}

// Answered has the answer to the open; it is closed without one if the channel or the connection ends before.
func (ch *Channel) Answered() <-chan Answer { return ch.answer }

// Confirm accepts a channel that the peer has opened.
func (ch *Channel) Confirm(line string) error {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	ch.confirmed = true
	return ch.conn.write(ssh.Marshal(confirmMsg{
		ID:        ch.peerNumber,
		Sender:    ch.number,
		Window:    ch.receiveWindow,
		MaxPacket: maxChannelPacket,
		Data:      []byte(line),
	}))
}

// Refuse refuses a channel that the peer has opened, with the code Shortage or Failed.
func (ch *Channel) Refuse(code uint32, text string) error {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	delete(ch.conn.channels, ch.number)
	ch.closeSent = true // nothing more may be sent on it
	return ch.conn.write(ssh.Marshal(failureMsg{ID: ch.peerNumber, Reason: code, Message: text}))
}

// handle handles a message for this channel. The caller holds the connection's mutex, as for the other handlers.
func (ch *Channel) handle(payload []byte) error {
	switch payload[0] {
	case numConfirm:
		return ch.handleConfirm(payload)
	case numFailure:
		return ch.handleFailure(payload)
	case numAdjust:
		var m adjustMsg
		if err := ssh.Unmarshal(payload, &m); err != nil {
			return err
		}
		ch.sendWindow += m.Bytes
		ch.conn.writable.Broadcast()
	case numData:
		return ch.handleData(payload)
	case numEOF:
		ch.finish(io.EOF)
	case numClose:
		ch.handleClose()
	case numRequest:
		return ch.handleRequest(payload)
	}
	return nil
}

func (ch *Channel) handleConfirm(payload []byte) error {
	var m confirmMsg
	if err := ssh.Unmarshal(payload, &m); err != nil {
		return err
	}
	ch.peerNumber = m.Sender
	ch.sendWindow = m.Window
	ch.maxPacket = m.MaxPacket
	ch.confirmed = true
	ch.sendAnswer(Answer{Up: true, Line: string(m.Data)})
	return nil
}

func (ch *Channel) handleFailure(payload []byte) error {
	var m failureMsg
	if err := ssh.Unmarshal(payload, &m); err != nil {
		return err
	}
	delete(ch.conn.channels, ch.number)
	ch.sendAnswer(Answer{Code: m.Reason, Line: m.Message})
	ch.err = errReset
	return nil
}

// handleData takes bytes of the stream. It is parsed by hand, as measurements of throughput must measure the
// balancer.
func (ch *Channel) handleData(payload []byte) error {
	if len(payload) < dataHeaderBytes {
		return errInvalidData
	}
	data := payload[dataHeaderBytes:]
	if int(binary.BigEndian.Uint32(payload[channelHeaderBytes:])) != len(data) {
		return errInvalidData
	}
	if uint32(len(data)) > ch.receiveWindow {
		return fmt.Errorf("%w: %d bytes with a window of %d", errInvalidData, len(data), ch.receiveWindow)
	}
	if ch.err != nil {
		return fmt.Errorf("%w: %d bytes after %w", errInvalidData, len(data), ch.err)
	}
	ch.receiveWindow -= uint32(len(data))
	ch.received = append(ch.received, data...)
	ch.readable.Broadcast()
	return nil
}

// handleClose answers the peer's CLOSE, unless this side has sent its own.
func (ch *Channel) handleClose() {
	ch.finish(errReset)
	if !ch.closeSent {
		ch.closeSent = true
		_ = ch.conn.write(ssh.Marshal(closeMsg{ch.peerNumber}))
	}
	delete(ch.conn.channels, ch.number)
	ch.conn.writable.Broadcast()
}

// handleRequest keeps a request to move for Moved, and refuses any request that wants a reply.
func (ch *Channel) handleRequest(payload []byte) error {
	var m requestMsg
	if err := ssh.Unmarshal(payload, &m); err != nil {
		return err
	}
	if m.Type == moveRequest {
		ch.moveToken = &m.Token
	}
	if !m.WantReply {
		return nil
	}
	return ch.conn.write(ssh.Marshal(requestFailureMsg{ch.peerNumber}))
}

// finish notes the end of what is received. The caller holds the mutex.
func (ch *Channel) finish(err error) {
	if ch.err == nil {
		ch.err = err
	}
	if !ch.answered {
		ch.answered = true
		close(ch.answer)
	}
	ch.readable.Broadcast()
}

// sendAnswer passes the answer to the open on, once. The caller holds the mutex.
func (ch *Channel) sendAnswer(a Answer) {
	if ch.answered {
		return
	}
	ch.answered = true
	ch.answer <- a
	close(ch.answer)
}

// Read reads the stream. At its end the error is io.EOF, and another one if it was broken off.
func (ch *Channel) Read(b []byte) (int, error) {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	for len(ch.received) == 0 && ch.err == nil {
		ch.readable.Wait()
	}
	if len(ch.received) == 0 {
		return 0, ch.err
	}
	n := copy(b, ch.received)
	ch.received = ch.received[n:]
	ch.grantCredit()
	return n, nil
}

// grantCredit grants the peer what was read of its window, once that is half of the window.
func (ch *Channel) grantCredit() {
	credit := ch.conn.window - ch.receiveWindow - uint32(len(ch.received))
	if credit < ch.conn.window/2 || ch.withholdCredit || ch.err != nil || ch.closeSent {
		return
	}
	ch.receiveWindow += credit
	_ = ch.conn.write(ssh.Marshal(adjustMsg{ID: ch.peerNumber, Bytes: credit})) // the next read shows an error
}

// Write sends bytes as the peer's window allows. After the end of the connection or of this side the error is
// io.ErrClosedPipe.
func (ch *Channel) Write(b []byte) (int, error) {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	sent := 0
	for len(b) > 0 {
		for ch.sendWindow == 0 && ch.conn.err == nil && !ch.closeSent {
			ch.conn.writable.Wait()
		}
		if ch.conn.err != nil || ch.closeSent || ch.eofSent {
			return sent, io.ErrClosedPipe
		}
		n := min(len(b), int(ch.sendWindow), int(ch.maxPacket), maxDataBytes)
		if err := ch.sendData(b[:n]); err != nil {
			return sent, err
		}
		ch.sendWindow -= uint32(n)
		sent += n
		b = b[n:]
	}
	return sent, nil
}

// sendData sends one message with data.
func (ch *Channel) sendData(data []byte) error {
	message := ch.conn.sendBuffer[:0]
	message = append(message, numData)
	message = binary.BigEndian.AppendUint32(message, ch.peerNumber)
	message = binary.BigEndian.AppendUint32(message, uint32(len(data)))
	message = append(message, data...)
	ch.conn.sendBuffer = message
	return ch.conn.write(message)
}

// CloseWrite sends EOF. Before the channel is confirmed it does nothing: the peer's number is not known.
func (ch *Channel) CloseWrite() error {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	if ch.eofSent || ch.closeSent || !ch.confirmed {
		return nil
	}
	ch.eofSent = true
	return ch.conn.write(ssh.Marshal(eofMsg{ch.peerNumber}))
}

// Reset sends CLOSE, which without EOF breaks the stream off. Before the channel is confirmed it does nothing.
func (ch *Channel) Reset() error {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	if ch.closeSent || !ch.confirmed || ch.conn.err != nil {
		return nil
	}
	ch.closeSent = true
	if ch.err == nil {
		ch.err = errReset
		ch.readable.Broadcast()
	}
	return ch.conn.write(ssh.Marshal(closeMsg{ch.peerNumber}))
}

// Close ends the channel in order, by EOF and CLOSE.
func (ch *Channel) Close() error {
	return errors.Join(ch.CloseWrite(), ch.Reset())
}

// Move makes the peer open a new channel elsewhere, with a token if it is not empty, and closes this one.
func (ch *Channel) Move(token string) error {
	ch.conn.mu.Lock()
	err := ch.conn.write(ssh.Marshal(requestMsg{ID: ch.peerNumber, Type: moveRequest, Token: token}))
	ch.conn.mu.Unlock()
	return errors.Join(err, ch.Close())
}

// Moved reports whether the peer has moved this side, and its token.
func (ch *Channel) Moved() (token string, moved bool) {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	if ch.moveToken == nil {
		return "", false
	}
	return *ch.moveToken, true
}

// WithholdCredit sets whether the peer is granted no more window, so that it stalls.
func (ch *Channel) WithholdCredit(on bool) {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	ch.withholdCredit = on
}
