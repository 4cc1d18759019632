package runtime

import (
	"context"
	"sync"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
)

// pending holds the requests that wait for a reply from the core.
type pending struct {
	mu      sync.Mutex
	last    event.Token
	waiting map[event.Token]chan effect.Effect
}

// register returns a new token and the channel on which its reply arrives. The
// channel has room for the reply, so that deliverReply never blocks.
func (p *pending) register() (event.Token, <-chan effect.Effect) {
	reply := make(chan effect.Effect, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		p.waiting = make(map[event.Token]chan effect.Effect)
	}
	p.last++
	p.waiting[p.last] = reply
	return p.last, reply
}

// deliverReply delivers a reply; it returns false if no request waits for it.
func (p *pending) deliverReply(token event.Token, e effect.Effect) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply, ok := p.waiting[token]
	if ok {
		delete(p.waiting, token)
		reply <- e
	}
	return ok
}

// remove deletes a token. It returns false if its reply was already delivered.
func (p *pending) remove(token event.Token) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.waiting[token]
	delete(p.waiting, token)
	return ok
}

// deliverReply delivers a reply of the core to the request that waits for it.
func (l *Loop) deliverReply(token event.Token, e effect.Effect) {
	if !l.pending.deliverReply(token, e) {
		l.log(logevent.RuntimeLateReply, logevent.Int("token", token))
	}
}

// awaitReply returns the reply to a token, or nil if ctx or the loop ended
// first. A reply that was delivered before the token is removed is not lost.
func (l *Loop) awaitReply(ctx context.Context, token event.Token, reply <-chan effect.Effect) effect.Effect {
	select {
	case e := <-reply:
		return e
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	if l.pending.remove(token) {
		return nil
	}
	return <-reply
}

// cancelFuncs holds the cancel functions of running tasks by key.
type cancelFuncs[K comparable] struct {
	mu    sync.Mutex
	tasks map[K]context.CancelFunc
}

// add registers a task; it returns false when the key is in use.
func (c *cancelFuncs[K]) add(key K, cancel context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tasks == nil {
		c.tasks = make(map[K]context.CancelFunc)
	}
	if _, ok := c.tasks[key]; ok {
		return false
	}
	c.tasks[key] = cancel
	return true
}

// cancel cancels a task's context. It does not remove the task's entry.
func (c *cancelFuncs[K]) cancel(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.tasks[key]; ok {
		cancel()
	}
}

// remove deletes a task's entry, after which its key can be used again.
func (c *cancelFuncs[K]) remove(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.tasks, key)
}
