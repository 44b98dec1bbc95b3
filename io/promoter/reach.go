package promoter

import (
	"context"
	"maps"
	"sync"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/ids"
	"dotterelgw/core/membership"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
	"dotterelgw/io/mesh"
)

// Kinds of datagrams.
const (
	// kindReach asks whether the VM reaches a process that is not registered.
	kindReach mesh.Kind = "reach"
	// kindReached answers kindReach.
	kindReached mesh.Kind = "reached"
)

const (
	// reachTimeout bounds the wait for the answers of other VMs, which ask the process for 500 ms at most.
	reachTimeout = 800 * time.Millisecond
	// maxReachQuestions bounds the questions that a VM works on at a time; further ones are not answered.
	maxReachQuestions = 16
)

// reachQuestion asks whether the VM reaches a process.
type reachQuestion struct {
	// Number matches answers to questions.
	Number    uint64              `cbor:"number"`
	Group     ids.GroupID         `cbor:"group"`
	Server    ids.BackendServerID `cbor:"server"`
	StartedMS int64               `cbor:"started_ms"`
	Address   string              `cbor:"address"`
}

// reachAnswer answers a reachQuestion.
type reachAnswer struct {
	Number uint64 `cbor:"number"`
	// Reached states whether the process answered, if only that it is busy.
	Reached bool `cbor:"reached"`
}

// reach asks other VMs whether they reach processes, and answers them.
type reach struct {
	network *mesh.Mesh
	groups  Groups
	// working holds a value for each question that this VM works on.
	working chan struct{}

	mutex   sync.Mutex
	number  uint64
	answers map[uint64]map[ids.VMID]bool
}

func newReach(network *mesh.Mesh, groups Groups) *reach {
	reach := &reach{network: network, groups: groups, working: make(chan struct{}, maxReachQuestions), answers: make(map[uint64]map[ids.VMID]bool)}
	mesh.Handle(network, kindReach, reach.handleQuestion)
	mesh.Handle(network, kindReached, reach.handleAnswer)
	return reach
}

// ask asks all other VMs whether they reach the member, and returns them and the answers that have arrived in time.
func (reach *reach) ask(ctx context.Context, group ids.GroupID, member membership.Member) (asked []ids.VMID, answers map[ids.VMID]bool) {
	asked = reach.network.Peers()
	reach.mutex.Lock()
	reach.number++
	question := reachQuestion{Number: reach.number, Group: group, Server: member.ID, StartedMS: member.StartedMS, Address: member.Address}
	reach.answers[question.Number] = make(map[ids.VMID]bool)
	reach.mutex.Unlock()
	for _, vm := range asked {
		mesh.Send(reach.network, vm, kindReach, question)
	}
	for end := clock.Now() + reachTimeout; clock.Now() < end && reach.answered(question.Number) < len(asked) && ctx.Err() == nil; {
		clock.Sleep(ctx, ackPollInterval)
	}
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	answers = maps.Clone(reach.answers[question.Number])
	delete(reach.answers, question.Number)
	return asked, answers
}

// answered returns the number of answers to the question.
func (reach *reach) answered(number uint64) int {
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	return len(reach.answers[number])
}

// handleQuestion asks the process and answers. A VM that has too much to do doesn't answer, which leaves the question open.
func (reach *reach) handleQuestion(sender ids.VMID, question reachQuestion) {
	select {
	case reach.working <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-reach.working }()
		server := reach.groups.NewUnlistedServer(catalog.Server{ID: question.Server, Group: question.Group, Address: question.Address, StartedMS: question.StartedMS})
		defer server.Close()
		_, err := server.SendControl(dbpool.Call{Kind: statement.Status})
		mesh.Send(reach.network, sender, kindReached, reachAnswer{Number: question.Number, Reached: isAlive(err)})
	}()
}

func (reach *reach) handleAnswer(sender ids.VMID, answer reachAnswer) {
	reach.mutex.Lock()
	defer reach.mutex.Unlock()
	if answers, open := reach.answers[answer.Number]; open {
		answers[sender] = answer.Reached
	}
}
