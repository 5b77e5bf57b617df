package loadgen

import (
	"bufio"
	"errors"
	"net"
	"testing"
)

// An answer other than UP is a refusal, and so is an end without an answer. A failed dial is not.
func TestOpen(t *testing.T) {
	ln, err := net.Listen("tcp", "127.91.3.7:0") // the kernel assigns no port of this address to another connection
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	served := make(chan net.Conn, 1)
	answer := ""
	serve := func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		first, _ := bufio.NewReader(c).ReadString('\n')
		if first != "OPEN 1 2\r\n" || answer == "end" {
			_ = c.Close()
		} else {
			_, _ = c.Write([]byte(answer))
		}
		served <- c
	}
	for _, answer = range []string{"UP 1\r\n", "BUSY\r\n", "end"} {
		go serve()
		c, reader, err := Open(ln.Addr().String(), "OPEN 1 2", 0)
		up := answer == "UP 1\r\n"
		if up != (err == nil) || up != (reader != nil) || !up && !errors.Is(err, ErrRefused) {
			t.Errorf("answer %q: %v, want a reader for UP, else ErrRefused", answer, err)
		}
		if c != nil {
			_ = c.Close()
		}
		_ = (<-served).Close()
	}
	addr := ln.Addr().String()
	_ = ln.Close()
	if _, _, err := Open(addr, "OPEN 1 2", 0); err == nil || errors.Is(err, ErrRefused) {
		t.Errorf("no listener: %v, want an error other than ErrRefused", err)
	}
}
