//go:build review

// The rig program plays the script cases of a review: it starts gateways as separate processes on loopback addresses, with stand-ins of
// the platform's store, of servers and of clients, and checks a rule by what these have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is a case. It returns whether the rule was broken.
type play func(r *rig, trouble bool) (broken bool, err error)

var errUsage = errors.New("usage: rig CASE RECORD")

func main() {
	broken, err := run(os.Args[1:])

	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	default:
		fmt.Println("the rule held")
		os.Exit(exitHeld)
	}
}

// run plays the case that the arguments name, and writes its record to the file that they name.
func run(args []string) (bool, error) {
	plays := map[string]play{"pause": playPause, "twice": playTwice, "late": playLate, "versions": playVersions}

	const wanted = 2
	if len(args) != wanted || plays[args[0]] == nil {
		return false, errUsage
	}

	f, err := os.Create(args[1])
	if err != nil {
		return false, err
	}
	defer f.Close() //nolint:errcheck // All lines were written before.

	r, err := newRig(f)
	if err != nil {
		return false, err
	}
	defer r.close()

	// A case that is stopped ends the processes that it has started.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)

	go func() {
		<-stop
		r.close()
		os.Exit(exitNotRun)
	}()

	return plays[args[0]](r, os.Getenv("TROUBLE") != "0")
}
