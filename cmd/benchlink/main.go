// Command benchlink connects the decision module to the simulator: it reads batches of events from standard input and
// writes the replies to standard output.
package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"hollylever/simadapter"
)

func main() {
	debug.SetGCPercent(400)
	simadapter.ExchangesReports = os.Getenv("HOLLYLEVER_PEERS") == "on"
	if err := simadapter.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
