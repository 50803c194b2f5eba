package node

// orders carries out what comes through the operators' door.
type orders struct{ b *Balancer }

// Ready reports whether new requests are to come to this process.
func (o orders) Ready() bool { return o.b.ready() && !o.b.ending }

// Offline takes an upstream out until Online, whatever the list says. It reports whether the id was ever listed.
func (o orders) Offline(name string) bool {
	b := o.b
	if _, listed := b.book.Number(name); !listed {
		return false
	}
	b.log.WithField("upstream", name).Info("taken out by an operator")
	b.driver.Ban(b.book.Pin(name))
	return true
}

// Online ends that.
func (o orders) Online(name string) bool {
	b := o.b
	id, listed := b.book.Number(name)
	if !listed {
		return false
	}
	b.log.WithField("upstream", name).Info("let back by an operator")
	b.driver.Unban(id)
	b.book.Unpin(name)
	return true
}
