package node

import "salttrack/internal/handover"

// What operators order, at the door or in a script.

// Ready reports whether new requests are to come to this process.
func (b *Balancer) Ready() bool {
	if b.shared != nil {
		b.shared.look()
	}
	return b.listening && b.ready() && !b.ending
}

// Order takes an upstream out until it is called back, whatever the list says, or calls it back. It reports whether the id
// was ever listed.
func (b *Balancer) Order(name string, out bool) bool {
	if _, listed := b.book.Number(name); !listed {
		return false
	}
	if b.shared != nil {
		b.shared.order(name, handover.Order{Out: out, At: b.loop.Now()})
	}
	b.carryOut(name, out)
	return true
}

// carryOut takes an upstream out or in.
func (b *Balancer) carryOut(name string, out bool) {
	log := b.log.WithField("upstream", name)
	id := b.book.Pin(name)
	if out {
		log.Info("taken out by an operator")
		b.driver.Ban(id)
		return
	}
	log.Info("let back by an operator")
	b.driver.Unban(id)
	b.book.Unpin(name)
}
