//go:build review

// Command world plays the platform, its servers, its clients and its operator around real gateway processes, to show
// faults of them. Each case is a subcommand; the subcommand server is one server process.
//
// A case exits with 0 if the rule held, with 1 if it was broken and with 2 if it could not run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: world CASE FOLDER | world server FLAGS")
		os.Exit(exitCannotRun)
	}

	if os.Args[1] == "server" {
		runServer(os.Args[2:])

		return
	}

	cases := map[string]func(w *world) bool{
		"crashed-zone": crashedZone,
		"long-bodies":  longBodies,
		"last-tenant":  lastTenant,
	}

	play, ok := cases[os.Args[1]]
	if !ok || len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "unknown case, or no folder for its record")
		os.Exit(exitCannotRun)
	}

	os.Exit(runCase(os.Args[2], play))
}
