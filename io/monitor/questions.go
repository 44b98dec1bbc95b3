package monitor

import (
	"sync"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/clock"
	"dotterelgw/io/mesh"
)

// questionMemory is the time for which the answer to a question is taken.
const questionMemory = 2 * time.Second

// questions holds the questions to other VMs that may still be answered.
type questions struct {
	mutex   sync.Mutex
	number  uint64
	pending map[uint64]*question
}

// question is one question to one VM.
type question struct {
	sentAt time.Duration
	// done is closed by the last part of the answer.
	done chan struct{}
}

// add notes a question that is about to be sent, and forgets those that are too old.
func (questions *questions) add(now time.Duration) (uint64, *question) {
	questions.mutex.Lock()
	defer questions.mutex.Unlock()
	for number, asked := range questions.pending {
		if now-asked.sentAt > questionMemory {
			delete(questions.pending, number)
		}
	}
	if questions.pending == nil {
		questions.pending = make(map[uint64]*question)
	}
	questions.number++
	asked := &question{sentAt: now, done: make(chan struct{})}
	questions.pending[questions.number] = asked
	return questions.number, asked
}

// sentAt returns when the question was sent; false for one that is answered, forgotten or was never asked.
func (questions *questions) sentAt(number uint64) (time.Duration, bool) {
	questions.mutex.Lock()
	defer questions.mutex.Unlock()
	asked, known := questions.pending[number]
	if !known {
		return 0, false
	}
	return asked.sentAt, true
}

// answered ends the question.
func (questions *questions) answered(number uint64) {
	questions.mutex.Lock()
	defer questions.mutex.Unlock()
	if asked, known := questions.pending[number]; known {
		close(asked.done)
		delete(questions.pending, number)
	}
}

// ask asks several VMs at once, each for some groups, and returns the groups for which no answer came in time.
func (monitor *Monitor) ask(wanted map[ids.VMID][]ids.GroupID, observe bool) []ids.GroupID {
	asked := make(map[ids.VMID]*question, len(wanted))
	for vm, groups := range wanted {
		number, question := monitor.asked.add(clock.Now())
		asked[vm] = question
		mesh.Send(monitor.sharing.Mesh, vm, kindAsk, shareRequest{Number: number, Groups: groups, Observe: observe})
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	expired := false
	var missing []ids.GroupID
	for vm, question := range asked {
		if !question.awaited(timer, &expired) {
			missing = append(missing, wanted[vm]...)
		}
	}
	return missing
}

// awaited states whether the question is answered before the timer expires, which it notes.
func (question *question) awaited(timer *time.Timer, expired *bool) bool {
	if !*expired {
		select {
		case <-question.done:
			return true
		case <-timer.C:
			*expired = true
		}
	}
	select {
	case <-question.done:
		return true
	default:
		return false
	}
}
