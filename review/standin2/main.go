//go:build review

// Command standin2 plays the cases 6 to 10 of the review. It starts the balancer as a process of its own, by the run
// line of the deploy file, and plays clients, servers and discovery on loopback addresses.
//
//	standin2 CASE FOLDER
//
// It writes record.txt into FOLDER and exits with 0 if the rule of the case held, 1 if it was broken, and 2 if the case
// couldn't run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that takes too long; a case may run for 120 s.
const caseTimeout = 110 * time.Second

// errBroken is wrapped by the error of a case in which the rule was broken. Any other error means that the case
// couldn't run.
var errBroken = errors.New("rule broken")

func brokenf(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errBroken, fmt.Sprintf(format, args...))
}

// cases holds the cases by name.
var cases = map[string]func(*world) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(body func(*world) error, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	done := make(chan error, 1)
	go func() { done <- body(w) }()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-done:
	case <-stopped:
		err = errors.New("the case was stopped")
	case <-time.After(caseTimeout):
		err = errors.New("the case took too long")
	}
	w.logf("verdict: %v", verdict(err))
	w.close()
	fmt.Println(verdict(err))
	switch {
	case err == nil:
		return exitHeld
	case errors.Is(err, errBroken):
		return exitBroken
	}
	return exitNotRun
}

func verdict(err error) string {
	switch {
	case err == nil:
		return "held"
	case errors.Is(err, errBroken):
		return err.Error()
	}
	return "not run: " + err.Error()
}
