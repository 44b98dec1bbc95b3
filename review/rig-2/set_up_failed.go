package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// failingShare is the share of the requests that fail on the database, and failingTime the length of that.
	failingShare, failingTime = 0.4, 5 * time.Second
	// vms is the number of nodes, sessions that of the clients.
	vms, sessions = 7, 21
)

// setUpFailed has one database fail a part of its requests. No statement may run with other session values than those that were
// acknowledged to its client.
func setUpFailed(record *record, trouble bool) (broken []string, err error) {
	deployment, err := newDeployment(record, vms, 1, []tenant{{Name: "t-alpha", APIKeys: []string{"key-a"}, Rate: 1000, Burst: 1000}})
	if deployment != nil {
		defer deployment.stop()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		deployment.groups[0].databases[0].fail(failingShare)
		record.line("%s fails a share of %.1f of its requests from now on", deployment.groups[0].databases[0].id, failingShare)
	}
	var mutex sync.Mutex
	acknowledged := make(map[string]string)
	var clients sync.WaitGroup
	for index := range sessions {
		clients.Go(func() {
			name, number := fmt.Sprintf("c%d", index), 0
			for end := time.Now().Add(failingTime); time.Now().Before(end); number++ {
				session := fmt.Sprintf("%s.%d", name, number)
				value := "value-" + session
				client, err := connect(record, session, deployment.nodes[index%len(deployment.nodes)].callers(), hostPrimary+"0", "key-a")
				if err != nil {
					continue
				}
				if reply, err := client.ask("SET app " + value); err == nil && reply.ok() {
					for step := range 3 {
						mutex.Lock()
						acknowledged[fmt.Sprintf("%s-%d", session, step+2)] = value
						mutex.Unlock()
						if _, err := client.ask(fmt.Sprintf("WRITE item-%s-%d data", session, step)); err != nil {
							break
						}
					}
				}
				client.close()
			}
		})
	}
	clients.Wait()
	for _, database := range deployment.groups[0].databases {
		database.fail(0)
	}
	for _, ran := range deployment.ran() {
		if value, known := acknowledged[ran.id]; known && ran.values["app"] != value {
			broken = append(broken, fmt.Sprintf("PINNED: %s ran %q of request %s with app=%q, but its client was acknowledged app=%q",
				ran.database, ran.text, ran.id, ran.values["app"], value))
		}
	}
	record.line("%d statements ran", len(deployment.ran()))
	return broken, nil
}
