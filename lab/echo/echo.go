// Package echo is a minimal index node: it accepts every connection and channel with UP, and sends each further line
// back. It knows only PING and the answers to a first line, and must not know clients, balancers or measurements.
package echo

import (
	"bufio"
	"io"
	"net"

	"spurspread/lab/sshchan"
)

// WindowBytes is the receive window that the node grants on each channel.
const WindowBytes = 64 << 10

// sshPrefix is the beginning of a connection with channels.
const sshPrefix = "SSH-"

// Serve serves connections with plain lines and with channels until the listener is closed. If onOpen is not nil it is
// called with the first line of each connection with plain lines, in the connection's goroutine.
func Serve(ln net.Listener, onOpen func(first string)) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go serveConn(conn, onOpen)
	}
}

func serveConn(conn net.Conn, onOpen func(first string)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, WindowBytes)
	prefix, _ := reader.Peek(len(sshPrefix))
	if string(prefix) == sshPrefix {
		serveChannels(conn, reader)
		return
	}
	if answerOpen(reader, conn, onOpen) {
		echoLines(reader, conn)
	}
}

// serveChannels accepts channels and echoes their lines until the connection ends.
func serveChannels(conn net.Conn, reader *bufio.Reader) {
	if _, err := reader.ReadString('\n'); err != nil {
		return
	}
	channels, err := sshchan.Server(conn, reader, WindowBytes)
	if err != nil {
		return
	}
	for channel := channels.Accept(); channel != nil; channel = channels.Accept() {
		if channel.Confirm("UP 1") != nil {
			return
		}
		go echoLines(bufio.NewReader(channel), channel)
	}
}

// answerOpen answers the first line, a ping or an open. It reports false if reading or writing failed.
func answerOpen(reader *bufio.Reader, w io.Writer, onOpen func(first string)) bool {
	line, err := reader.ReadSlice('\n')
	if err != nil {
		return false
	}
	answer := "UP 1\r\n"
	if string(line) == "PING\r\n" {
		answer = "PONG\r\n"
	} else if onOpen != nil {
		onOpen(string(line))
	}
	_, err = io.WriteString(w, answer)
	return err == nil
}

// echoLines sends each line back until reading or writing fails.
func echoLines(reader *bufio.Reader, w io.Writer) {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return
		}
		if _, err := w.Write(line); err != nil {
			return
		}
	}
}
