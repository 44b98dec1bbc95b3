package main

import (
	"fmt"
	"os"
	"time"
)

// The exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit bounds a script.
const limit = 115 * time.Second

// scripts holds the scripts by name. Each returns what broke the rule, or an error if the case couldn't run.
var scripts = map[string]func(record *record, trouble bool) (broken []string, err error){
	"key-moved":     keyMoved,
	"set-up-failed": setUpFailed,
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 SCRIPT RECORD")
		os.Exit(exitNotRun)
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig2:", err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("script %s, trouble %t", os.Args[1], trouble)
	broken, err := scripts[os.Args[1]](record, trouble)
	switch {
	case err != nil:
		record.line("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		record.close()
		os.Exit(exitNotRun)
	case len(broken) > 0:
		for _, what := range broken {
			record.line("BROKEN %s", what)
		}
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		record.close()
		os.Exit(exitBroken)
	}
	record.line("the rule held")
	fmt.Println("the rule held")
	record.close()
	os.Exit(exitHeld)
}
