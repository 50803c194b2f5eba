package fake

import (
	"net/netip"

	"salttrack/internal/loop"
)

// noDescriptor is the descriptor of a closed listener.
const noDescriptor = -1

// listener accepts connections and passes their ownership to onAccept. It owns its descriptor until close.
type listener struct {
	host     Host
	fd       int
	onAccept func(*conn)
}

func listen(host Host, addr netip.AddrPort, onAccept func(*conn)) (*listener, error) {
	fd, err := host.Loop().Listen(addr)
	if err != nil {
		return nil, err
	}
	l := &listener{host: host, fd: fd, onAccept: onAccept}
	return l, host.Loop().Add(fd, loop.Readable, l)
}

// Ready accepts all pending connections.
func (l *listener) Ready(uint32) {
	for l.fd != noDescriptor {
		fd, err := l.host.Loop().Accept(l.fd)
		if err != nil {
			return
		}
		c := &conn{host: l.host, fd: fd, connected: true}
		if l.host.Loop().Add(fd, loop.Readable|loop.HangUp, c) != nil {
			l.host.Loop().Close(fd)
			continue
		}
		l.onAccept(c)
	}
}

func (l *listener) close() {
	if l.fd != noDescriptor {
		l.host.Loop().Close(l.fd)
		l.fd = noDescriptor
	}
}
