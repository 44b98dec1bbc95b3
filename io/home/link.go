package home

import (
	"errors"
	"fmt"
	"os"
	"time"

	"dotterelgw/core/catalog"
	"dotterelgw/core/leader"
	"dotterelgw/core/position"
	"dotterelgw/core/statement"
	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
)

const (
	// probeAfter is the silence of a home after which a waiting statement has it probed.
	probeAfter = 150 * time.Millisecond
	// probeTimeout is how long a home has to answer a probe.
	probeTimeout = 450 * time.Millisecond
	// answerMargin is how much longer the caller's VM waits than the home, so that the home tells which of the two did not answer.
	answerMargin = 20 * time.Millisecond
)

var (
	// errUnsupported reports a call that only a connection of this VM can carry.
	errUnsupported = errors.New("the call can't be handed over")
	// errUnanswered reports a call on a link whose last statement got no answer.
	errUnanswered = errors.New("the last statement of the link is unanswered")
)

// link is a virtual connection to a backend server, whose statements run on a connection of a home. It implements dbpool.Link.
type link struct {
	client   *Client
	stream   *outgoing
	id       linkID
	server   catalog.Server
	request  dbpool.Request
	waitBy   time.Time
	answerBy time.Time

	// values and shapes are the session values and the definitions of prepared statements that were set on the link.
	values map[string]string
	shapes map[string]string
	// answered is the number of calls that the link itself has answered and Receive has not yet returned.
	answered int
	// open reports whether the home holds a transaction of the link, outstanding whether a statement is unanswered.
	open, outstanding bool
	// sentAt is when the outstanding statement was handed over, giveUp when the link stops waiting for its answer.
	sentAt time.Duration
	giveUp time.Time
	// answer receives the result of the outstanding statement.
	answer chan result
}

// result is the result of a statement that was handed over.
type result struct {
	reply statement.Reply
	err   error
	// took is the time that the home needed for the statement.
	took time.Duration
}

// Send implements dbpool.Link.Send. Calls that set up the session are kept and travel with the statement that needs them.
func (link *link) Send(deadline time.Time, calls ...dbpool.Call) error {
	for _, call := range calls {
		switch call.Kind {
		case statement.Reset:
			link.values, link.shapes = nil, nil
		case statement.Set:
			link.values = with(link.values, call.Name, call.Value)
		case statement.Prepare:
			link.shapes = with(link.shapes, call.Name, call.Value)
		case statement.Status, statement.Pause, statement.Resume, statement.StepDown:
			return errUnsupported
		default:
			if err := link.handOver(deadline, call); err != nil {
				return err
			}
			continue
		}
		link.answered++
	}
	return nil
}

// with sets a key of a map that may be nil and returns the map.
func with(entries map[string]string, key, value string) map[string]string {
	if entries == nil {
		entries = make(map[string]string)
	}
	entries[key] = value
	return entries
}

// handOver sends a statement to the home. Results name their link but not their statement, so that a link on which one was given up carries
// no other.
func (link *link) handOver(deadline time.Time, call dbpool.Call) error {
	if link.outstanding {
		return errUnanswered
	}
	now := time.Now()
	group, after := call.MinPosition.Parts()
	message := run{
		AnswerMS: deadline.Sub(now).Milliseconds(), Values: link.values, ID: call.ID, Kind: call.Kind, Text: call.Text,
		Name: call.Name, Value: call.Value, Group: group, Term: after.Term, Log: after.Log,
	}
	if call.Kind == statement.Execute {
		message.Text, message.Shape = "", link.shapes[call.Name]
	}
	link.giveUp = deadline
	if !link.open {
		message.Server, message.StartedMS = link.server.ID, link.server.StartedMS
		message.describe(link.request)
		message.WaitMS, message.TotalMS = link.waitBy.Sub(now).Milliseconds(), link.answerBy.Sub(now).Milliseconds()
		link.giveUp = later(deadline, earlier(link.answerBy, link.waitBy.Add(deadline.Sub(now))))
	}
	link.sentAt = clock.Now()
	if err := link.stream.send(kindRun, link.id, message); err != nil {
		return link.notHandedOver(err)
	}
	link.outstanding = true
	link.client.handedOver.Inc(1)
	return nil
}

// notHandedOver returns the error for a statement that was not handed over. An open transaction is lost with its stream.
func (link *link) notHandedOver(err error) error {
	switch {
	case link.open:
		return fmt.Errorf("handing a statement over to %s: %w: %w", link.stream.peer, dbpool.ErrHomeLost, err)
	case errors.Is(err, errTooLong), errors.Is(err, errQueueBound):
		return &dbpool.NotRunError{Cause: fmt.Errorf("handing a statement over to %s: %w: %w", link.stream.peer, dbpool.ErrQueueFull, err)}
	}
	return &dbpool.NotRunError{Cause: fmt.Errorf("handing a statement over to %s: %w: %w", link.stream.peer, dbpool.ErrHomeUnavailable, err)}
}

func earlier(one, other time.Time) time.Time {
	if other.Before(one) {
		return other
	}
	return one
}

func later(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

// Receive implements dbpool.Link.Receive. The wait for a connection of the home is allowed beyond the deadline, as it would be before a
// statement is sent on a connection of this VM.
func (link *link) Receive(time.Time) (statement.Reply, error) {
	if link.answered > 0 {
		link.answered--
		return statement.Reply{}, nil
	}
	giveUp := link.giveUp.Add(answerMargin)
	timer := time.NewTimer(min(probeAfter, time.Until(giveUp)))
	defer timer.Stop()
	for {
		select {
		case result := <-link.answer:
			return link.take(result)
		case <-timer.C:
		}
		if !link.stream.probe(clock.Now(), probeAfter, probeTimeout) {
			link.client.lose(link.stream)
			continue
		}
		left := time.Until(giveUp)
		if left <= 0 {
			return link.last()
		}
		timer.Reset(min(probeAfter, left))
	}
}

// last returns the result if it has arrived in spite of the time, which a VM short of processor time notices late.
func (link *link) last() (statement.Reply, error) {
	select {
	case result := <-link.answer:
		return link.take(result)
	default:
		return statement.Reply{}, link.timedOut()
	}
}

// deliver passes a result to Receive. A second one for the same statement is dropped.
func (link *link) deliver(result result) {
	select {
	case link.answer <- result:
	default:
	}
}

// take returns the result of the outstanding statement.
func (link *link) take(result result) (statement.Reply, error) {
	if result.err != nil {
		link.open, link.outstanding = false, false
		return statement.Reply{}, result.err
	}
	link.client.answered(link.stream.peer, clock.Now()-link.sentAt-result.took)
	link.outstanding = false
	link.open = result.reply.State != statement.Idle
	return result.reply, nil
}

// timedOut returns the error for a statement without answer. If the home has been silent since it was handed over, that says nothing
// about the server.
func (link *link) timedOut() error {
	if time.Duration(link.stream.heardAt.Load()) < link.sentAt {
		return fmt.Errorf("no sign of %s: %w", link.stream.peer, dbpool.ErrHomeLost)
	}
	return fmt.Errorf("waiting for an answer through %s: %w", link.stream.peer, os.ErrDeadlineExceeded)
}

// Status implements dbpool.Link.Status. Control statements are never handed over.
func (link *link) Status(statement.Reply) (leader.Status, error) {
	return leader.Status{}, errUnsupported
}

// Usable implements dbpool.Link.Usable.
func (link *link) Usable() bool { return !link.outstanding && link.stream.ended() == nil }

// Close implements dbpool.Link.Close. The home rolls an open transaction back.
func (link *link) Close(bool) {
	link.stream.remove(link.id)
	if link.open || link.outstanding {
		_ = link.stream.send(kindClose, link.id, nil)
	}
}

// replyOf returns the answer that the frame carries.
func replyOf(reply reply) statement.Reply {
	return statement.Reply{
		Rows: reply.Rows, Code: reply.Code, Signature: reply.Signature, Message: reply.Message, State: reply.State,
		Position: position.Position{Term: reply.Term, Log: reply.Log},
	}
}
