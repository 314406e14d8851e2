// The auburntray program runs routers and gateways, and is the command-line client of operators.
package main

import (
	"fmt"
	"os"

	"github.com/auburntray/auburntray/internal/commander"
)

func main() {
	if err := commander.New().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "auburntray:", err)
		os.Exit(1)
	}
}
