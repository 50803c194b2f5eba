package node

import (
	"errors"

	"salttrack/balance"
	"salttrack/internal/hotrestart"
)

// overrideTimeout is the time after which an override fails with ErrOverrideTimeout if its record is not stored.
const overrideTimeout balance.Millis = 5000

// retainedSlowStarts is the time that an override which enables an upstream stays in the record, in durations of a slow start.
// A process that starts later does not need it, since the upstream is warm by then.
const retainedSlowStarts = 2

// ErrOverrideTimeout reports that an override was not stored in time. If the store completes later, the override comes into force.
// Operators' scripts read the text in responses of the admin server, so it must not change.
var ErrOverrideTimeout = errors.New("the folder of orders does not answer: the order is carried out only if it does")

// pendingOverride is an override that an operator has set in this process and that is not stored yet.
type pendingOverride struct {
	upstream string // name of the upstream
	disabled bool
	done     func(error) // nil once it has been called
}

// finish calls done at the first call, and has no effect after that.
func (o *pendingOverride) finish(err error) {
	if done := o.done; done != nil {
		o.done = nil
		done(err)
	}
}

// setOverride stores an override and then applies it. It calls done with nil once the override is in force, or with the error.
func (p *peerSync) setOverride(name string, disabled bool, done func(error)) {
	o := &pendingOverride{upstream: name, disabled: disabled, done: done}
	p.pending = append(p.pending, o)
	p.node.loop.After(overrideTimeout, func() { o.finish(ErrOverrideTimeout) })
	p.publish()
}

// publishOverride stores the record with the oldest pending override. It drops an override that has timed out already.
func (p *peerSync) publishOverride() {
	next := p.pending[0]
	p.pending = p.pending[1:]
	if next.done == nil {
		p.publish()
		return
	}
	override := p.newOverride(next.disabled)
	record := p.record.Clone()
	record.Overrides[next.upstream] = override
	p.publishing = true
	p.worker.Publish(record, nil, func(err error) {
		p.publishing = false
		p.onOverrideStored(next, override, err)
		p.publish()
	})
}

// newOverride returns an override that supersedes all known ones. It also removes expired overrides from the record.
func (p *peerSync) newOverride(disabled bool) hotrestart.Override {
	now := p.node.loop.Now()
	uptime := hotrestart.Uptime()
	hotrestart.RemoveExpired(p.record.Overrides, uptime, retainedSlowStarts*p.node.settings.SlowStartDuration)
	return hotrestart.Override{
		Disabled:    disabled,
		SetAt:       now,
		Version:     hotrestart.NextVersion(p.record.Overrides, now),
		SetAtUptime: uptime,
	}
}

// onOverrideStored applies a pending override after its record was stored, and rejects it after an error.
// After an error the record without the override is stored again, since the record with it may be on the disk.
func (p *peerSync) onOverrideStored(o *pendingOverride, stored hotrestart.Override, err error) {
	n := p.node
	if err != nil {
		p.unpublished = true
		n.log.WithError(err).WithField("upstream", o.upstream).Warn("storing override failed, override rejected")
		o.finish(err)
		return
	}
	hotrestart.Merge(p.record.Overrides, map[string]hotrestart.Override{o.upstream: stored}, n.applyOverride)
	o.finish(nil)
}
