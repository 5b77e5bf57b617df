package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// adminTimeout bounds connecting to an admin address and, separately, the command with its reply.
const adminTimeout = 5 * time.Second

// callAdmin sends a command to an admin address and returns the text that follows +OK in the reply. Any other reply is
// an error that quotes it.
func callAdmin(addr, command string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, adminTimeout)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(adminTimeout)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprint(conn, command, "\r\n"); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("read the reply of %s: %w", addr, err)
	}
	line = strings.TrimSpace(line)
	reply, ok := strings.CutPrefix(line, "+OK ")
	if !ok {
		return "", fmt.Errorf("%s answered %q, want +OK", addr, line)
	}
	return reply, nil
}
