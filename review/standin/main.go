//go:build review

// Command standin plays a case of the review: it starts the project's own programs and stand-ins for clients, servers
// and discovery, brings about the disruption, and checks one rule.
//
//	standin CASE ROOT FOLDER
//
// It writes record.txt into the folder, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
// not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playLimit is the time that a play may take.
const playLimit = 115 * time.Second

// endEarly ends the run and its processes at a signal, or when the play takes too long.
func (b *bench) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case s := <-signals:
		b.logf("could not run: %v", s)
	case <-time.After(playLimit):
		b.logf("could not run: not over after %v", playLimit)
	}
	b.close()
	os.Exit(2)
}

// cases are the plays by name. A play returns what broke the rule, or an error if it could not run.
var cases = map[string]func(*bench) (broken []string, err error){
	"channel-copies":   playChannelCopies,
	"drain-lines":      playDrainLines,
	"load-hint":        playLoadHint,
	"short-file":       playShortFile,
	"crowded-drain":    playCrowdedDrain,
	"restart-channels": playRestartChannels,
}

func main() { os.Exit(run()) }

func run() int {
	const arguments = 4
	if len(os.Args) != arguments || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		return 2
	}
	b, err := newBench(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	go b.endEarly()
	broken, err := cases[os.Args[1]](b)
	if err != nil {
		b.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	for _, text := range broken {
		b.logf("BROKEN: %s", text)
		fmt.Println("broken:", text)
	}
	b.logf("%d breaks of the rule", len(broken))
	fmt.Printf("%d breaks of the rule\n", len(broken))
	if len(broken) > 0 {
		return 1
	}
	return 0
}
