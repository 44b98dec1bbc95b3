package dbpool

import "dotterelgw/core/statement"

// sentCall is what is kept of a call until it is answered.
type sentCall struct {
	id   statement.RequestID
	kind statement.Kind
}

// sentCalls holds the unanswered calls of a connection, oldest first.
type sentCalls struct {
	calls []sentCall
	// answered is the number of the first calls that are answered.
	answered int
}

// maxKeptCalls is the largest capacity that is kept while no call is unanswered.
const maxKeptCalls = 16

func (sent *sentCalls) len() int { return len(sent.calls) - sent.answered }

func (sent *sentCalls) add(calls []Call) {
	for _, call := range calls {
		sent.calls = append(sent.calls, sentCall{id: call.ID, kind: call.Kind})
	}
}

// oldest returns the oldest call; there must be one.
func (sent *sentCalls) oldest() sentCall { return sent.calls[sent.answered] }

// remove removes the oldest call; there must be one.
func (sent *sentCalls) remove() {
	sent.answered++
	if sent.len() > 0 {
		return
	}
	sent.calls, sent.answered = sent.calls[:0], 0
	if cap(sent.calls) > maxKeptCalls {
		sent.calls = nil
	}
}
