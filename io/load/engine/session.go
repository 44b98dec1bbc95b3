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
	// connectPause is the pause after all proxies have refused a connection.
	connectPause = 50 * time.Millisecond
	// closeTimeout bounds the orderly shutdown of a connection.
	closeTimeout = time.Second
	// tokenParameter is the run-time parameter that carries the session token.
	tokenParameter = "dotterel.token"
)

// session sends the requests of one client session sequentially.
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

// serve sends the requests of the queue until it is closed.
func (session *session) serve(ctx context.Context) {
	session.proxy = session.random.IntN(len(session.run.proxyNames))
	session.scheduleMove(0)
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

func (session *session) handle(sessionCtx context.Context, request *history.Request) {
	ctx, cancel := context.WithTimeout(sessionCtx, time.Duration(session.run.experiment.Timeout))
	defer cancel()
	if request.Writes() {
		session.sequence++
		request.Sequence = session.sequence
		session.assignRows(request)
	}
	request.Started = session.run.elapsed()
	request.Moved = session.moveIfDue(request.Started)
	err := session.connect(ctx)
	request.Proxy = session.run.proxyNames[session.proxy]
	if err != nil {
		classify(request, err, true)
	} else {
		request.Started = session.run.elapsed()
		session.execute(ctx, request)
	}
	request.Finished = session.run.elapsed()
}

// assignRows sets the row ids of a write. An id consists of the session id and a counter and is unique across runs.
func (session *session) assignRows(request *history.Request) {
	count := 1
	if request.Kind == schedule.Transaction {
		count = 2
	}
	for range count {
		session.rows++
		request.Rows = append(request.Rows, session.id<<rowBits|session.rows)
	}
}

// scheduleMove sets the time of the next move. Sessions that move together also switch to their common proxy here.
func (session *session) scheduleMove(now time.Duration) {
	every := time.Duration(session.organisation.MoveEvery)
	switch {
	case every <= 0:
		session.moveAt = 1<<63 - 1
	case session.organisation.Move == "together":
		session.moveAt = now/every*every + every
		session.proxy = int(now/every) % len(session.run.proxyNames)
	default:
		session.moveAt = now + time.Duration((0.5+session.random.Float64())*float64(every))
	}
}

// moveIfDue switches to another proxy if the time of the next move has come, and reports whether it did.
func (session *session) moveIfDue(now time.Duration) bool {
	if now < session.moveAt {
		return false
	}
	session.disconnect()
	session.nextProxy()
	session.scheduleMove(now)
	return true
}

func (session *session) nextProxy() {
	if count := len(session.run.proxyNames); count > 1 {
		session.proxy = (session.proxy + 1 + session.random.IntN(count-1)) % count
	}
}

func (session *session) disconnect() {
	if session.connection == nil {
		return
	}
	session.saveToken()
	connection := session.connection
	session.connection = nil
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = connection.Close(ctx)
}

func (session *session) saveToken() {
	if session.organisation.Token && session.connection != nil {
		if token := session.connection.PgConn().ParameterStatus(tokenParameter); token != "" {
			session.token = token
		}
	}
}

// connect opens a connection if the session has none. Like a load balancer, it tries the other proxies if one refuses
// the connection, until the request times out.
func (session *session) connect(ctx context.Context) error {
	if session.connection != nil && session.connection.IsClosed() {
		session.saveToken()
		session.connection = nil
		session.nextProxy()
	}
	for attempt := 1; session.connection == nil; attempt++ {
		err := session.dial(ctx)
		if err == nil {
			return nil
		}
		var pgErr *pgconn.PgError
		if errors.As(err, &pgErr) && !retryable(pgErr.Code) || ctx.Err() != nil {
			return err
		}
		session.nextProxy()
		if attempt%len(session.run.proxyNames) == 0 {
			select {
			case <-ctx.Done():
				return err
			case <-time.After(connectPause):
			}
		}
	}
	return nil
}

// retryable reports whether another proxy may accept a connection that one proxy refused with this SQLSTATE.
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
