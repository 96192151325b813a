// Command hollylever is one balancer that decides alone.
package main

import "hollylever/cli"

func main() { cli.Main(nil) }
