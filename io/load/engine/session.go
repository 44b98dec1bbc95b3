package engine

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"dotterelgw/io/load/experiment"
	"dotterelgw/io/load/history"
	"dotterelgw/io/load/schedule"
)

const (
	// connectTimeout bounds one attempt to connect to one proxy.
	connectTimeout = 3 * time.Second
	// connectPause is the pause after every proxy refused a connection.
	connectPause = 50 * time.Millisecond
	// closeTimeout bounds the orderly end of a connection.
	closeTimeout = time.Second
	// tokenParameter is the parameter that carries the session token.
	tokenParameter = "dotterel.token"
)

// session sends the requests of one session, one after the other.
type session struct {
	run          *run
	organisation *experiment.Organisation
	id           int64
	queue        chan schedule.Arrival
	random       *rand.Rand

	connection *pgx.Conn
	proxy      int
	moveAt     time.Duration
	token      string
	sequence   int64
	rows       int64
	requests   []history.Request
}

// serve handles the session's arrivals until the queue is closed.
func (session *session) serve(ctx context.Context) {
	session.proxy = session.random.IntN(len(session.run.names))
	session.planMove(0)
	for arrival := range session.queue {
		request := history.Request{
			Organisation: session.organisation.Name, Session: session.id, Kind: arrival.Kind, Intended: arrival.At,
		}
		session.handle(ctx, &request)
		session.requests = append(session.requests, request)
		session.run.progress.add(&request)
	}
	session.disconnect()
}

func (session *session) handle(parent context.Context, request *history.Request) {
	ctx, cancel := context.WithTimeout(parent, time.Duration(session.run.experiment.Timeout))
	defer cancel()
	if request.Writes() {
		session.sequence++
		request.Sequence = session.sequence
		session.allot(request)
	}
	request.Started = session.run.now()
	request.Moved = session.move(request.Started)
	err := session.connect(ctx)
	request.Proxy = session.run.names[session.proxy]
	if err != nil {
		classify(request, err, true)
	} else {
		request.Started = session.run.now()
		session.execute(ctx, request)
	}
	request.Finished = session.run.now()
}

// allot gives a write the identifiers of its rows: the session's number and a counter, unique over all runs.
func (session *session) allot(request *history.Request) {
	count := 1
	if request.Kind == schedule.Transaction {
		count = 2
	}
	for range count {
		session.rows++
		request.Rows = append(request.Rows, session.id<<rowBits|session.rows)
	}
}

// planMove decides when the session moves next.
func (session *session) planMove(now time.Duration) {
	every := time.Duration(session.organisation.MoveEvery)
	switch {
	case every <= 0:
		session.moveAt = 1<<63 - 1
	case session.organisation.Move == "together":
		session.moveAt = now/every*every + every
		session.proxy = int(now/every) % len(session.run.names)
	default:
		session.moveAt = now + time.Duration((0.5+session.random.Float64())*float64(every))
	}
}

// move leaves the proxy if it is time, and states whether it did.
func (session *session) move(now time.Duration) bool {
	if now < session.moveAt {
		return false
	}
	session.disconnect()
	session.nextProxy()
	session.planMove(now)
	return true
}

func (session *session) nextProxy() {
	if count := len(session.run.names); count > 1 {
		session.proxy = (session.proxy + 1 + session.random.IntN(count-1)) % count
	}
}

func (session *session) disconnect() {
	if session.connection == nil {
		return
	}
	session.keepToken()
	connection := session.connection
	session.connection = nil
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = connection.Close(ctx)
}

func (session *session) keepToken() {
	if session.organisation.Token && session.connection != nil {
		if token := session.connection.PgConn().ParameterStatus(tokenParameter); token != "" {
			session.token = token
		}
	}
}

// connect makes sure that the session has a connection; like a balancer it tries other proxies when one does not
// take it, until the request's time is over.
func (session *session) connect(ctx context.Context) error {
	if session.connection != nil && session.connection.IsClosed() {
		session.keepToken()
		session.connection = nil
		session.nextProxy()
	}
	for attempt := 1; session.connection == nil; attempt++ {
		err := session.dial(ctx)
		if err == nil {
			return nil
		}
		var refused *pgconn.PgError
		if errors.As(err, &refused) && !retryable(refused.Code) || ctx.Err() != nil {
			return err
		}
		session.nextProxy()
		if attempt%len(session.run.names) == 0 {
			select {
			case <-ctx.Done():
				return err
			case <-time.After(connectPause):
			}
		}
	}
	return nil
}

// retryable states whether another proxy may take a connection that one refused with the SQLSTATE.
func retryable(code string) bool { return code == "57P01" || code == "57P03" || code == "53300" }

func (session *session) dial(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	config := session.run.config(session.proxy, session.organisation.Name)
	if session.organisation.Token {
		config.RuntimeParams["options"] = "-c " + tokenParameter + "=" + session.token
	}
	connection, err := pgx.ConnectConfig(ctx, config)
	if err != nil {
		return err
	}
	session.connection = connection
	return nil
}
