// Package echo is the plainest index node: it takes every connection, says UP, and sends back each line. It knows the
// protocol's first words, and nothing of clients, balancers or measurements.
package echo

import (
	"bufio"
	"io"
	"net"
	"spurspread/lab/sshchan"
)

// Window is what a node promises to take on a channel, in bytes.
const Window = 64 << 10

// Serve serves plain connections and such with channels until the listener closes. asked, if it is set, is called
// with the first line of each plain one, from a goroutine of its own.
func Serve(ln net.Listener, asked func(first string)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			rd := bufio.NewReaderSize(c, Window)
			head, _ := rd.Peek(4)
			if string(head) != "SSH-" {
				lines(rd, c, true, asked)
				return
			}
			if _, err := rd.ReadString('\n'); err != nil {
				return
			}
			t, err := sshchan.Server(c, rd, Window)
			if err != nil {
				return
			}
			for ch := t.Accept(); ch != nil; ch = t.Accept() {
				if ch.Confirm("UP 1") != nil {
					return
				}
				go lines(bufio.NewReader(ch), ch, false, nil)
			}
		}()
	}
}

func lines(rd *bufio.Reader, w io.Writer, first bool, asked func(string)) {
	for ; ; first = false {
		text, err := rd.ReadSlice('\n')
		if err != nil {
			return
		}
		switch {
		case first && string(text) == "PING\r\n":
			text = []byte("PONG\r\n")
		case first:
			if asked != nil {
				asked(string(text))
			}
			text = []byte("UP 1\r\n")
		}
		if _, err := w.Write(text); err != nil {
			return
		}
	}
}
