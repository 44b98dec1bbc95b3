package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"dotterelgw/platform/standin"
)

const (
	// calmTime is the time of service before a disruption.
	calmTime = 3 * time.Second
	// nodes is the number of nodes, writers the number of clients.
	nodes   = 6
	writers = 18
	// exitBroken and exitUnable are the exit codes for a broken rule and for a case that could not run.
	exitBroken = 1
	exitUnable = 2
)

// configuration is what the operator writes.
const configuration = `{"version":%d,"routes":[{"name":"r1","host":"bids","routeType":"primary","timeoutMs":800,"targetLatencyMs":120,
	"priority":1,"service":"leilao-db","maxStalenessMs":0}],"services":[{"name":"leilao-db","maxConns":32,"syncReplicas":1}],
	"limits":{"txIdleMs":5000},"tenants":[{"name":"t-one","apiKeys":["k-one"],"ratePerS":2000,"burst":2000}]}`

func main() {
	binary := flag.String("node", "target/dotterelgw", "program of the node")
	folder := flag.String("folder", "", "temporary folder for the settings")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "cause the disruption")
	name := flag.String("script", "promotion-away", "script to play")
	flag.Parse()
	script, known := scripts[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "rig: no such script:", *name)
		os.Exit(exitUnable)
	}
	broken, err := play(*binary, *folder, *path, script, *trouble)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(exitUnable)
	case broken:
		os.Exit(exitBroken)
	}
}

// script causes a disruption; length is about the time that it takes.
type script struct {
	length    time.Duration
	disrupt   func(deployed *deployment) error
	violation func(deployed *deployment, acks *acknowledged) bool
}

// scripts holds the scripts by name.
var scripts = map[string]script{
	"promotion-away": {length: promotionAwayLength, disrupt: (*deployment).promotionAway, violation: lacksAcknowledged},
	"stray-entry":    {length: finalFaultLength, disrupt: func(deployed *deployment) error { return deployed.finalFault(true) }, violation: notRecovered},
	"final-fault":    {length: finalFaultLength, disrupt: func(deployed *deployment) error { return deployed.finalFault(false) }, violation: notRecovered},
}

// deployment is what a script starts.
type deployment struct {
	store      *standin.Store
	group      *group
	promotions *promotions
	vms        []*vm
	record     *record
	// fault is the time of the final fault, back that at which the nodes were started again.
	fault, back time.Time
}

// deploy starts the stand-ins and the nodes, and waits until all nodes are ready.
func deploy(binary, folder string, record *record) (*deployment, error) {
	deployed := &deployment{store: standin.NewStore(), record: record}
	deployed.store.Put("op/config", fmt.Appendf(nil, configuration, 7))
	var err error
	if deployed.group, err = newGroup("leilao-db", deployed.store, record); err != nil {
		return nil, err
	}
	if deployed.promotions, err = newPromotions(deployed.group, record); err != nil {
		return nil, err
	}
	for number := range nodes {
		vm, err := newVM(binary, folder, number+1, deployed.store.Address(), deployed.promotions.address)
		if err != nil {
			return deployed, err
		}
		deployed.vms = append(deployed.vms, vm)
	}
	for _, vm := range deployed.vms {
		if err := vm.awaitReady(); err != nil {
			return deployed, err
		}
	}
	return deployed, nil
}

// endOnSignal ends all processes and this one when it is asked to stop.
func (deployed *deployment) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	deployed.end()
	os.Exit(exitUnable)
}

// end ends all processes.
func (deployed *deployment) end() { endAll(deployed.vms) }

// play runs the script and reports whether the rule was broken.
func play(binary, folder, path string, script script, trouble bool) (broken bool, err error) {
	record, err := newRecord(path)
	if err != nil {
		return false, err
	}
	deployed, err := deploy(binary, folder, record)
	if deployed != nil {
		defer deployed.end()
		go deployed.endOnSignal()
	}
	if err != nil {
		return false, err
	}
	acks := &acknowledged{writes: make(map[string]time.Time), others: make(map[string]int)}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for number := range writers {
		writer := &writer{name: fmt.Sprintf("c%02d", number), vms: deployed.vms, record: record, acks: acks, next: number}
		clients.Go(func() { writer.run(ctx) })
	}
	time.Sleep(calmTime)
	if trouble {
		err = script.disrupt(deployed)
	} else {
		time.Sleep(script.length)
	}
	stop()
	clients.Wait()
	deployed.keepLogs(folder)
	return script.violation(deployed, acks), err
}

// keepLogs writes the log of each node into the folder.
func (deployed *deployment) keepLogs(folder string) {
	for _, vm := range deployed.vms {
		_ = os.WriteFile(folder+"/"+vm.name+".log", vm.log(), 0o600)
	}
}
