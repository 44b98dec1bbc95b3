package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMB is the memory of a process by its settings.
	memoryMB = 284
	// manyServices is the number of services, readers that of clients that read at once, readTime the length of that.
	manyServices, readers, readTime = 3, 40, 8 * time.Second
	// manyRows is the number of rows of the long answer, shortRow the text of each.
	manyRows, shortRow = 1_000_000, "a"
	// readGap is the pause of a client after an answer.
	readGap = 50 * time.Millisecond
	// samplePause is the time between two looks at the memory.
	samplePause = 20 * time.Millisecond
	// longItem is the item whose reading is answered with them.
	longItem = "long"
)

// anonymousMB returns the resident memory of the process without the pages of files.
func (node *node) anonymousMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", node.pid.Load()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kilobytes >> 10
		}
	}
	return 0
}

// manyRowsRead has clients read an item with many short rows. No process may exceed the memory of its machine, which would end it.
func manyRowsRead(record *record, trouble bool) (broken []string, err error) {
	deployment, err := newDeployment(record, 3, manyServices, []tenant{{Name: "t-alpha", APIKeys: []string{"key-a"}, Rate: 1000, Burst: 1000}})
	if deployment != nil {
		defer deployment.stop()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	deployment.configure([]tenant{{Name: "t-alpha", APIKeys: []string{"key-a"}, Rate: 1000, Burst: 1000}}, 1500)
	time.Sleep(time.Second)
	text := "READ short"
	if trouble {
		text = "READ " + longItem
	}
	var clients sync.WaitGroup
	for index := range readers {
		clients.Go(func() {
			for end, number := time.Now().Add(readTime), 0; time.Now().Before(end); number++ {
				client, err := connect(record, fmt.Sprintf("c%d.%d", index, number), deployment.nodes[0].callers(), fmt.Sprint(hostOwn, index%manyServices), "key-a")
				if err != nil {
					time.Sleep(readyPoll)
					continue
				}
				for time.Now().Before(end) {
					if _, err := client.ask(text); err != nil {
						break
					}
					time.Sleep(readGap)
				}
				client.close()
			}
		})
	}
	stop := make(chan struct{})
	go func() {
		clients.Wait()
		close(stop)
	}()
	for sampling := true; sampling; {
		select {
		case <-stop:
			sampling = false
		case <-time.After(samplePause):
		}
		held := deployment.nodes[0].anonymousMB()
		record.line("%s holds %d MB", deployment.nodes[0].name, held)
		if held > memoryMB {
			broken = append(broken, fmt.Sprintf("%s holds %d MB, its machine has %d MB", deployment.nodes[0].name, held, memoryMB))
		}
	}
	return broken, nil
}
