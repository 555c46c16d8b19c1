package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/rhubarbswitch/rhubarbswitch/internal/core/step"
	"github.com/rhubarbswitch/rhubarbswitch/internal/engineapi"
	"github.com/rhubarbswitch/rhubarbswitch/internal/stricthttp"
)

// maxControlAnswerBytes bounds the body of an answer of the control interface; the rest is
// not read.
const maxControlAnswerBytes = 1 << 20

// control holds the single connection to a host's control interface. Only a probe dials it.
// An order is sent over the connection on which its incarnation answered a probe, or not at
// all, so that it can't reach a later incarnation.
type control struct {
	mu      sync.Mutex                  // held during an exchange
	current atomic.Pointer[controlConn] // nil if there is none; Close removes it without locking mu
}

type controlConn struct {
	id     uint64 // unique within the client, from 1
	conn   net.Conn
	reader *bufio.Reader
}

func (k *control) close() {
	if open := k.current.Swap(nil); open != nil {
		_ = open.conn.Close()
	}
}

func (c *Client) control(address string) *control {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.controls[address]
	if k == nil {
		k = &control{}
		c.controls[address] = k
	}
	return k
}

func (c *Client) nextConnID() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastConnID++
	return c.lastConnID
}

// Probe requests the status of a host, over the existing control connection or a new one. The
// report repeats sent, the caller's clock reading. Its OK field is false if the host did not
// answer with success, or if an engine answered under another host name.
func (c *Client) Probe(ctx context.Context, p step.Probe, sent time.Duration) step.HostReport {
	r := step.HostReport{Host: p.Host, Sent: sent}
	k := c.control(p.Address)
	k.mu.Lock()
	defer k.mu.Unlock()
	open := k.current.Load()
	if open == nil {
		conn, err := c.dialer.DialContext(ctx, "tcp", p.Address)
		if err != nil {
			return r
		}
		open = &controlConn{id: c.nextConnID(), conn: conn, reader: bufio.NewReader(conn)}
		k.current.Store(open)
	}
	path := engineapi.PathStatus
	if p.Service {
		path = engineapi.PathProbe
	}
	resp, body, err := open.exchange(c.set.ProbeTimeout, p.Address, http.MethodGet, path, nil)
	if err != nil {
		k.close()
		return r
	}
	if resp.Close {
		k.close()
	}
	r.Conn = open.id
	if p.Service {
		r.OK = resp.StatusCode < http.StatusMultipleChoices
		r.Status = engineapi.Status{Host: p.Host, Incarnation: resp.Header.Get(engineapi.HeaderIncarnation), Ready: r.OK}
		return r
	}
	if resp.StatusCode != http.StatusOK || json.Unmarshal(body, &r.Status) != nil {
		return r
	}
	r.OK = r.Status.Host == p.Host
	return r
}

// Order sends an order over the connection that it names, or over the current one if it names
// none. The reply is ReplyUnsent if that connection is no longer open, ReplyLost if no answer
// came, and ReplyConflict for every status but 200: the engine has refused the order.
func (c *Client) Order(o step.SendOrder) step.OrderReply {
	r := step.OrderReply{Op: o.Op, Host: o.Host, Status: step.ReplyUnsent}
	k := c.control(o.Address)
	k.mu.Lock()
	defer k.mu.Unlock()
	open := k.current.Load()
	if open == nil || o.Conn != 0 && open.id != o.Conn {
		return r
	}
	body, err := json.Marshal(o.Order)
	if err != nil {
		return r
	}
	resp, answer, err := open.exchange(c.set.ProbeTimeout, o.Address, http.MethodPost, engineapi.PathOrder, body)
	if err != nil {
		k.close()
		r.Status = step.ReplyLost
		return r
	}
	if resp.Close {
		k.close()
	}
	var reply engineapi.OrderReply
	if json.Unmarshal(answer, &reply) == nil {
		r.Report = reply.Status
	}
	r.Status = step.ReplyOK
	if resp.StatusCode != http.StatusOK {
		r.Status = step.ReplyConflict
	}
	return r
}

// exchange sends one request over the connection and reads the complete answer. After an error
// the connection must be closed.
func (k *controlConn) exchange(timeout time.Duration, address, method, path string, body []byte) (*http.Response, []byte, error) {
	if err := k.conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, nil, errors.Wrap(err, "set deadline")
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	if err := req.Write(k.conn); err != nil {
		return nil, nil, errors.Wrap(err, "write request")
	}
	resp, err := http.ReadResponse(k.reader, req)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read answer")
	}
	if err := stricthttp.CheckHead(resp); err != nil {
		return nil, nil, err
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxControlAnswerBytes))
	_ = resp.Body.Close()
	if err != nil {
		return nil, nil, errors.Wrap(err, "read answer")
	}
	return resp, answer, nil
}
