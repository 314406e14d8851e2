// The auburntray-standin program runs stand-ins for model engines, services, the platform and the store of
// the users' platform with its servers, for demonstrations and tests.
package main

import (
	"fmt"
	"os"

	"github.com/auburntray/auburntray/internal/standin/commander"
)

func main() {
	if err := commander.New().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "auburntray-standin:", err)
		os.Exit(1)
	}
}
