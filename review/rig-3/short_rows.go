package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	shortRowsClients = 40
	// shortRowsCount is the number of rows of the large item, each of one byte.
	shortRowsCount = 1_000_000
	// shortRowsMachines is the number of nodes that the clients use.
	shortRowsMachines = 2
	// shortRowsTime is the time for which the clients read; shortRowsAnswerTimeout bounds one answer.
	shortRowsTime          = 40 * time.Second
	shortRowsAnswerTimeout = 5 * time.Second
	// shortRowsPause lies between two reads of a client.
	shortRowsPause = time.Second
	// memoryPoll is the interval of the samples of a process's memory.
	memoryPoll = 20 * time.Millisecond
	// memoryLimitKB is memoryMb of the site.
	memoryLimitKB = 284 << 10
	// platformRestart is the time after which the platform starts a process that has ended.
	platformRestart = 500 * time.Millisecond
	// endsPerMachine is the number of ends from which a machine counts for the rule.
	endsPerMachine = 3
	largeItem      = "large"
	smallItem      = "small"
)

// shortRows lets clients read an item of very many short rows at two nodes, and does what the platform does to a process that exceeds
// the memory of its machine.
func shortRows(world *world) (bool, error) {
	name := smallItem
	if world.trouble {
		name = largeItem
	}
	for index, service := range serviceNames {
		world.configuration.Routes = append(world.configuration.Routes, route{
			Name: "r-rows" + strconv.Itoa(index), Host: rowsHost(index), Prefix: "/", RouteType: "bounded_staleness", TimeoutMs: 4000,
			TargetLatencyMs: 600, Priority: 2, Service: service, Attempts: 2, MaxStalenessMs: 2500,
		})
	}
	if err := world.store.publish(world.configuration); err != nil {
		return false, err
	}
	time.Sleep(settleTime)
	end := time.Now().Add(shortRowsTime)
	var running sync.WaitGroup
	var answered atomic.Int64
	ends := make([]int, shortRowsMachines)
	for machine, node := range world.nodes[:shortRowsMachines] {
		running.Go(func() { ends[machine] = world.limitMemory(node, end) })
		for index := range shortRowsClients {
			running.Go(func() {
				for time.Now().Before(end) {
					if world.readRows(node, index, name) > 0 {
						answered.Add(1)
					}
					time.Sleep(shortRowsPause)
				}
			})
		}
	}
	running.Wait()
	world.recorder.notef("%d reads got their rows; ends of processes by machine: %v", answered.Load(), ends)
	if answered.Load() == 0 {
		return false, errNothingRan
	}
	machines := 0
	for _, count := range ends {
		if count >= endsPerMachine {
			machines++
		}
	}
	return machines < shortRowsMachines, nil
}

// rowsHost returns the name under which clients reach the service.
func rowsHost(index int) string { return "rows" + strconv.Itoa(index) }

// readRows reads the item once, without keeping its rows, and returns their number.
func (world *world) readRows(node *node, index int, name string) int {
	client, err := connect(node, rowsHost(index%len(serviceNames)), "key-1", fmt.Sprintf("client-%d of %s", index, node.name), world.recorder)
	if err != nil {
		return 0
	}
	defer client.close()
	id := newID()
	world.recorder.notef("%s sends %s: READ %s", client.name, id, name)
	_ = client.conn.SetDeadline(time.Now().Add(shortRowsAnswerTimeout))
	if _, err := client.conn.Write([]byte("QUERY " + id + " READ " + name + "\r\n")); err != nil {
		return 0
	}
	rows, ended := 0, ""
	for {
		line, err := readLine(client.reader)
		if err != nil {
			ended = err.Error()
			break
		}
		if strings.HasPrefix(line, "READY ") {
			break
		}
		if strings.HasPrefix(line, "ROW ") {
			rows++
		} else {
			ended = line
		}
	}
	world.recorder.notef("%s got %s: %d rows, %s", client.name, id, rows, ended)
	return rows
}

// limitMemory kills the process of the node whenever it exceeds the memory of its machine, starts it again, and returns how often.
func (world *world) limitMemory(node *node, end time.Time) int {
	ends := 0
	for time.Now().Before(end) {
		if used := node.memoryKB(); used > memoryLimitKB {
			node.kill()
			world.recorder.notef("%s took %d MB of %d MB and was killed", node.name, used>>10, memoryLimitKB>>10)
			ends++
			time.Sleep(platformRestart)
			if err := node.start(); err != nil {
				world.recorder.notef("%v", err)
				return ends
			}
		}
		time.Sleep(memoryPoll)
	}
	return ends
}

// memoryKB returns the memory in KB that the process takes, without the pages of files.
func (node *node) memoryKB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", node.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb
		}
	}
	return 0
}
