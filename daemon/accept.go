package daemon

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// acceptLogInterval is the shortest time between two warnings about connections that can't be accepted.
const acceptLogInterval = time.Second

// acceptListener reports the failures to accept a connection, usually for lack of descriptors. net/http
// tries again after up to a second.
type acceptListener struct {
	net.Listener
	onFailure func(err error)
}

func (l acceptListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.onFailure(err)
	}
	return c, err
}

// acceptFailed handles a failure to accept a connection.
func (d *Daemon) acceptFailed(err error) {
	d.front.AcceptFailed()
	d.acceptLog.Do(func() { d.log.WithField("err", err).Warn("can't accept connections") })
}
