//go:build review

package main

import (
	"net"
	"time"
)

// startLink passes connections on to an address, with a delay in each direction, as a network does.
func startLink(to string, delay time.Duration) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			go carry(near, far, delay)
			go carry(far, near, delay)
		}
	}()
	return listener.Addr().String(), nil
}

// carry copies bytes from one connection to the other, each after the delay, and then the end.
func carry(from, to net.Conn, delay time.Duration) {
	type chunk struct {
		data []byte // nil: the end
		due  time.Time
	}
	const queued = 4096
	chunks := make(chan chunk, queued)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				chunks <- chunk{buf[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	if end, ok := to.(*net.TCPConn); ok {
		_ = end.CloseWrite()
	}
}
