package home

import (
	"errors"
	"time"

	"dotterelgw/io/clock"
	"dotterelgw/io/dbpool"
)

// describe sets for whom the statement asks for a connection of the home.
func (run *run) describe(request dbpool.Request) {
	run.Organisation, run.Priority = request.Organisation, request.Priority
	run.ObjectiveMS, run.PrimaryOnly = request.Objective.Milliseconds(), request.PrimaryOnly
	if request.Arrived > 0 {
		run.AgeMS = (clock.Now() - request.Arrived).Milliseconds()
	}
}

// requestOf returns for whom the statement asks for a connection.
func requestOf(message *run, received time.Duration) dbpool.Request {
	return dbpool.Request{
		Organisation: message.Organisation, Priority: message.Priority, Arrived: received - milliseconds(message.AgeMS),
		Objective: milliseconds(message.ObjectiveMS), PrimaryOnly: message.PrimaryOnly,
	}
}

// refusalOf returns the refusal for the error of an acquire.
func refusalOf(err error) *refused {
	refusal := &refused{Cause: causeUnreachable, Note: err.Error()}
	var full *dbpool.QueueFullError
	switch {
	case errors.As(err, &full):
		refusal.Cause, refusal.RoomInMS = causeQueueFull, full.RoomIn.Milliseconds()
	case errors.Is(err, dbpool.ErrSuspended):
		refusal.Cause = causeSuspended
	case errors.Is(err, dbpool.ErrAcquireTimeout):
		refusal.Cause = causeTimeout
	}
	return refusal
}

// reason returns the error that the refusal stands for on the VM of the caller.
func (refused *refused) reason() error {
	switch refused.Cause {
	case causeQueueFull:
		return &dbpool.QueueFullError{RoomIn: milliseconds(refused.RoomInMS)}
	case causeSuspended:
		return dbpool.ErrSuspended
	case causeTimeout:
		return dbpool.ErrAcquireTimeout
	case causeUnusable:
		return dbpool.ErrUnusable
	}
	return dbpool.ErrHomeUnavailable
}
