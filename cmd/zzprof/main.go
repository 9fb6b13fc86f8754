package main

import (
	"context"
	"log/slog"
	"os"
	"runtime/pprof"
	"fmt"
	"swiftloom/loomtrial"
)

func main() {
	site, _ := loomtrial.SiteByName("port")
	f, _ := os.Create("/tmp/cpu.prof")
	pprof.StartCPUProfile(f)
	r, err := loomtrial.Run(context.Background(), loomtrial.Options{Site: site, Policy: "cost", Seed: 1, Scenario: os.Args[1], Log: slog.New(slog.DiscardHandler)})
	pprof.StopCPUProfile()
	fmt.Println(err, r.Overhead, r.Idle)
}
