// Command hollylever is one balancer that decides alone.
package main

import "hollylever/serving"

func main() { serving.Main(nil) }
