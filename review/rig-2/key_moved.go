package main

import (
	"fmt"
	"time"
)

const (
	// statementPause is the client's pause between two statements of its transaction, below txIdleMs.
	statementPause = 1500 * time.Millisecond
	// laterStatements is the number of statements after the change.
	laterStatements = 4
)

// keyMoved has the operator take a key from one tenant and give it to another while a transaction of the key's client is open. No statement
// that the client sends later than configApplyMs may run for the tenant that doesn't hold the key any more.
func keyMoved(record *record, trouble bool) (broken []string, err error) {
	before := []tenant{
		{Name: "t-alpha", APIKeys: []string{"key-a", "key-x"}, Rate: 200, Burst: 200}, {Name: "t-beta", APIKeys: []string{"key-b"}, Rate: 200, Burst: 200},
	}
	after := before
	holder := "t-alpha"
	if trouble {
		holder = "t-beta"
		after = []tenant{
			{Name: "t-alpha", APIKeys: []string{"key-a"}, Rate: 200, Burst: 200}, {Name: "t-beta", APIKeys: []string{"key-b", "key-x"}, Rate: 200, Burst: 200},
		}
	}
	deployment, err := newDeployment(record, 3, 1, before)
	if deployment != nil {
		defer deployment.stop()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	client, err := connect(record, "x", deployment.nodes[0].callers(), hostPrimary+"0", "key-x")
	if err != nil {
		return nil, err
	}
	defer client.close()
	for _, text := range []string{"BEGIN", "WRITE item-1 before"} {
		if reply, err := client.ask(text); err != nil || !reply.ok() {
			return nil, fmt.Errorf("%s before the change: %v, %w", text, reply, err)
		}
	}
	acknowledged := deployment.configure(after, 900)
	sentAt := make(map[string]time.Duration)
	ask := func(text string) reply {
		at := record.now()
		answer, askErr := client.ask(text)
		sentAt[answer.id] = at
		if askErr != nil {
			err = askErr
		}
		return answer
	}
	for number := range laterStatements {
		time.Sleep(statementPause)
		ask(fmt.Sprintf("WRITE item-%d after", 2+number))
	}
	if answer := ask("COMMIT"); err == nil && answer.state == "I" {
		// What a new operation of the same session runs as shows which configuration the node has.
		ask("WRITE item-9 own")
	}
	for _, ran := range deployment.ran() {
		sent, known := sentAt[ran.id]
		if known && sent > acknowledged+configApplyMS*time.Millisecond && ran.tenant != holder {
			broken = append(broken, fmt.Sprintf("UNASKED: %s ran %q for tenant %s, %.1f s after the key of its client belonged to %s",
				ran.database, ran.text, ran.tenant, (sent-acknowledged).Seconds(), holder))
		}
	}
	return broken, nil
}
