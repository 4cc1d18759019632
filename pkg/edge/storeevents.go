package edge

import (
	"encoding/json"
	"errors"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

// postServerChange posts the change of a leaf. An entry that cannot be decoded counts
// as removed.
func (f *Follower) postServerChange(c Change, afterOutage bool) {
	name := c.Object.Name
	if c.Deleted {
		f.post(gateway.ServerRemoved{ID: name, AfterOutage: afterOutage})
		return
	}
	server, err := f.decoder.Server(name, c.Object.Value)
	if err != nil {
		f.onInvalid(KindServers, name, err)
		f.post(gateway.ServerRemoved{ID: name})
		return
	}
	f.post(gateway.ServerChanged{Server: server})
}

// postState posts the whole state of a kind.
func (f *Follower) postState(kind Kind, source gateway.ViewSource, afterOutage bool) {
	f.mu.Lock()
	known := f.view[kind]
	objects, held := f.effectiveObjects(kind)
	f.mu.Unlock()
	switch kind {
	case KindConfig:
		f.postConfig(objects, source)
	case KindServers:
		f.post(f.decodeServers(objects, afterOutage))
	case KindEvacuations:
		e := gateway.EvacuationsListed{Held: held}
		for name := range objects {
			e.FailureDomains = append(e.FailureDomains, name)
		}
		f.post(e)
	case KindRollouts:
		f.post(f.decodeRollouts(objects))
	case KindDaemons:
		e := f.decodeDaemons(objects)
		e.Era = known.Era
		f.post(e)
	}
	f.postAdvanced(kind)
}

// maxLoggedFaults bounds the log lines about one configuration; the status has all faults.
const maxLoggedFaults = 10

// configName is the name of the object that holds the configuration.
const configName = "main"

func (f *Follower) postConfig(objects map[string]Object, source gateway.ViewSource) {
	o, ok := objects[configName]
	if !ok {
		f.post(gateway.ConfigUnusable{Cause: "the store has none"})
		return
	}
	c, err := f.decoder.Config(o.Value)
	if err != nil {
		f.onInvalid(KindConfig, configName, err)
		f.post(gateway.ConfigUnusable{Cause: err.Error()})
		return
	}
	for _, fault := range c.Faults[:min(len(c.Faults), maxLoggedFaults)] {
		f.onInvalid(KindConfig, configName, errors.New(fault))
	}
	f.post(gateway.ConfigSeen{Config: c, Source: source})
}

func (f *Follower) decodeServers(objects map[string]Object, afterOutage bool) gateway.ServersListed {
	e := gateway.ServersListed{AfterOutage: afterOutage}
	for name, o := range objects {
		server, err := f.decoder.Server(name, o.Value)
		if err != nil {
			f.onInvalid(KindServers, name, err)
			continue
		}
		e.Servers = append(e.Servers, server)
	}
	return e
}

func (f *Follower) decodeDaemons(objects map[string]Object) gateway.DaemonsListed {
	e := gateway.DaemonsListed{}
	for name, o := range objects {
		var entry gateway.DaemonEntry
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			f.onInvalid(KindDaemons, name, err)
			continue
		}
		entry.Name = name
		if err := validateEntry(entry); err != nil {
			f.onInvalid(KindDaemons, name, err)
			continue
		}
		e.Daemons = append(e.Daemons, entry)
	}
	return e
}
