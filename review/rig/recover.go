package main

import (
	"sync"
	"time"
)

const (
	// strayTime is the time of service between the stray registration and the final fault.
	strayTime = 4 * time.Second
	// downTime is the time without any process.
	downTime = time.Second
	// recoveryTime is recoveryS.
	recoveryTime = 12 * time.Second
	// measuredTime is how long requests are counted after recoveryTime.
	measuredTime = 15 * time.Second
	// finalFaultLength is the length of the script.
	finalFaultLength = strayTime + downTime + recoveryTime + measuredTime
	// minServedDivisor gives the share of requests that must be served: a quarter.
	minServedDivisor = 4
)

// strayRegistration is an entry of another writer. It lacks zone, version, slots, coldLeftMs, born and seqNo, and nothing listens on its
// address.
const strayRegistration = `{"service":"leilao-db","address":"127.0.0.99:5432","state":"ready","dbRole":"replica"}`

// finalFault kills all processes while the primary is lost for good. With a stray registration it does so beside an entry of another
// writer.
func (deployed *deployment) finalFault(stray bool) error {
	if stray {
		deployed.store.Put("servers/i-stray", []byte(strayRegistration))
		deployed.record.note("another writer registers %s", strayRegistration)
	}
	time.Sleep(strayTime)
	deployed.fault = time.Now()
	deployed.record.note("all nodes are killed")
	deployed.end()
	deployed.group.databases[0].crash()
	time.Sleep(downTime)
	for _, vm := range deployed.vms {
		if err := vm.start(); err != nil {
			return err
		}
	}
	deployed.back = time.Now()
	deployed.record.note("all nodes are started")
	for _, vm := range deployed.vms {
		if err := vm.awaitReady(); err != nil {
			return err
		}
	}
	deployed.record.note("all nodes are ready")
	time.Sleep(time.Until(deployed.back.Add(recoveryTime + measuredTime)))
	return nil
}

// notRecovered reports whether less than a quarter of the requests was served after recoveryTime, though more was before.
func notRecovered(deployed *deployment, acks *acknowledged) bool {
	if deployed.back.IsZero() {
		deployed.fault, deployed.back = time.Now(), time.Now().Add(-recoveryTime-measuredTime)
	}
	acks.mutex.Lock()
	defer acks.mutex.Unlock()
	var sent, served, sentBefore, servedBefore int
	for _, attempt := range acks.attempts {
		switch {
		case attempt.sent.Before(deployed.fault) && !attempt.sent.After(deployed.back.Add(recoveryTime)):
			sentBefore++
			servedBefore += attempt.served
		case attempt.sent.After(deployed.back.Add(recoveryTime)):
			sent++
			served += attempt.served
		}
	}
	deployed.record.note("before the final fault %d of %d requests were served; later than %v after the nodes were back %d of %d; outcomes: %v",
		servedBefore, sentBefore, recoveryTime, served, sent, acks.others)
	return minServedDivisor*servedBefore >= sentBefore && minServedDivisor*served < sent
}

// attempt is a request that was answered, or whose connection ended.
type attempt struct {
	sent time.Time
	// served is 1 if the answer was a success, else 0.
	served int
}

// endAll ends the processes at the same time.
func endAll(vms []*vm) {
	var ended sync.WaitGroup
	for _, vm := range vms {
		ended.Go(vm.kill)
	}
	ended.Wait()
}
