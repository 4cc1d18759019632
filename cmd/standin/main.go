// Command standin runs the stand-ins for the platform and for backend servers
// as processes.
package main

import (
	"os"

	"github.com/pistachiousher/pistachiousher/standin/command"
)

func main() { os.Exit(command.Main(os.Args[1:])) }
