package runtime

import (
	"context"
	"sync"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
)

// pending holds the requests that wait for a reply of the core.
type pending struct {
	mu    sync.Mutex
	last  event.Token
	waits map[event.Token]chan effect.Effect
}

// open returns a new token and the channel on which its reply comes. The
// channel has room for the reply, so that resolve never waits.
func (p *pending) open() (event.Token, <-chan effect.Effect) {
	reply := make(chan effect.Effect, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waits == nil {
		p.waits = make(map[event.Token]chan effect.Effect)
	}
	p.last++
	p.waits[p.last] = reply
	return p.last, reply
}

// resolve delivers a reply; it returns false when nobody waits for it.
func (p *pending) resolve(token event.Token, e effect.Effect) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply, ok := p.waits[token]
	if ok {
		delete(p.waits, token)
		reply <- e
	}
	return ok
}

// drop forgets a token. It returns false when the reply was delivered.
func (p *pending) drop(token event.Token) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.waits[token]
	delete(p.waits, token)
	return ok
}

// resolve delivers a reply of the core.
func (l *Loop) resolve(token event.Token, e effect.Effect) {
	if !l.pending.resolve(token, e) {
		l.log(logevent.RuntimeLateReply, logevent.Int("token", token))
	}
}

// await returns the reply to a token, or nil when ctx or the loop ended first.
// A reply that came before the end is not lost.
func (l *Loop) await(ctx context.Context, token event.Token, reply <-chan effect.Effect) effect.Effect {
	select {
	case e := <-reply:
		return e
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	if l.pending.drop(token) {
		return nil
	}
	return <-reply
}

// cancels holds the cancel functions of running tasks by key.
type cancels[K comparable] struct {
	mu    sync.Mutex
	tasks map[K]context.CancelFunc
}

// add registers a task; it returns false when the key is in use.
func (c *cancels[K]) add(key K, cancel context.CancelFunc) bool {
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

// cancel stops a task, which removes itself when it has ended.
func (c *cancels[K]) cancel(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel, ok := c.tasks[key]; ok {
		cancel()
	}
}

// remove forgets a task that has ended.
func (c *cancels[K]) remove(key K) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.tasks, key)
}
