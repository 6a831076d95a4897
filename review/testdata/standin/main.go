// Command standin plays the platform around one dispatcher for the cases of the review: discovery,
// storage servers and clients, all on loopback addresses. It starts the dispatcher by the run command
// of the deploy file, plays one case, writes what was sent, answered and run, and judges one rule. It
// ends with status 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

// The dispatcher gets a signal when the thread that started it ends. So main stays on one thread.
func init() { runtime.LockOSThread() }

// scenario plays one case. trouble is false if the case's disruption is to be left out.
type scenario func(rec *record, p plan, trouble bool) error

// scenarios holds the cases by name.
var scenarios = map[string]scenario{
	"drain":   playDrain,
	"restart": playRestart,
	"memory":  playMemory,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	root := flag.String("root", ".", "root of the repository")
	temp := flag.String("temp", "", "private folder of the case")
	file := flag.String("record", "record.txt", "file to write the record to")
	trouble := flag.Bool("trouble", true, "play the disruption of the case")
	flag.Parse()
	play := scenarios[*name]
	if play == nil || *temp == "" {
		fmt.Println("usage: standin -case NAME -temp FOLDER [-root FOLDER] [-record FILE] [-trouble=false]")
		return exitNotRun
	}
	rec, err := openRecord(*file)
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	err = play(rec, plan{root: *root, temp: *temp}, *trouble)
	broken := rec.broken()
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
	case broken > 0:
		rec.line("result: the rule was broken %d times", broken)
		fmt.Printf("result: the rule was broken %d times\n", broken)
	default:
		rec.line("result: the rule held")
		fmt.Println("result: the rule held")
	}
	if closeErr := rec.close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		return exitNotRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}
