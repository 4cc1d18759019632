package edge

import (
	"encoding/json"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
)

func (f *Follower) postServer(c Change, outage bool) {
	name := c.Object.Name
	if c.Deleted {
		f.post(gateway.ServerRemoved{ID: name, AfterOutage: outage})
		return
	}
	server, err := f.decoder.Server(name, c.Object.Value)
	if err != nil {
		f.onBad(KindServers, name, err)
		f.post(gateway.ServerRemoved{ID: name})
		return
	}
	f.post(gateway.ServerChanged{Server: server})
}

// postAll posts the whole state of a kind.
func (f *Follower) postAll(kind Kind, source string, outage bool) {
	f.mu.Lock()
	known := f.view[kind].clone()
	f.mu.Unlock()
	switch kind {
	case KindConfig:
		f.postConfig(known.Objects, source)
	case KindServers:
		f.post(f.servers(known.Objects, outage))
		f.setView(known.Changed)
	case KindEvacuations:
		e := gateway.EvacuationsListed{}
		for name := range known.Objects {
			e.FailureDomains = append(e.FailureDomains, name)
		}
		f.post(e)
		f.setView(known.Changed)
	case KindDaemons:
		f.post(f.daemons(known.Objects))
	}
}

// configName is the name of the object that holds the configuration.
const configName = "main"

func (f *Follower) postConfig(objects map[string]Object, source string) {
	o, ok := objects[configName]
	if !ok {
		return
	}
	c, err := f.decoder.Config(o.Value)
	if err != nil {
		f.onBad(KindConfig, configName, err)
		return
	}
	f.post(gateway.ConfigSeen{Config: c, Source: source})
}

func (f *Follower) servers(objects map[string]Object, outage bool) gateway.ServersListed {
	e := gateway.ServersListed{AfterOutage: outage}
	for name, o := range objects {
		server, err := f.decoder.Server(name, o.Value)
		if err != nil {
			f.onBad(KindServers, name, err)
			continue
		}
		e.Servers = append(e.Servers, server)
	}
	return e
}

func (f *Follower) daemons(objects map[string]Object) gateway.DaemonsListed {
	e := gateway.DaemonsListed{}
	for name, o := range objects {
		var entry gateway.DaemonEntry
		if err := json.Unmarshal(o.Value, &entry); err != nil {
			f.onBad(KindDaemons, name, err)
			continue
		}
		entry.Name = name
		e.Daemons = append(e.Daemons, entry)
	}
	return e
}
