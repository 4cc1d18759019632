package gateway

import "github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"

// configSeen applies a configuration if it is newer than the one in use. The version in
// use never decreases during the life of a process.
func (s *State) configSeen(e ConfigSeen) {
	old := s.Version()
	if s.config != nil && e.Config.Version <= old {
		if e.Config.Version < old {
			s.emit(Log{Kind: LogConfigIgnored, Subject: e.Source.Daemon, Detail: e.Source.Call, Number: int64(e.Config.Version)})
		}
		return
	}
	e.Config.index()
	var earlier *tenant.Directory
	if s.config != nil {
		earlier = s.config.directory
	}
	s.config = e.Config
	s.config.source, s.config.appliedAt = e.Source, s.now
	applied := Log{Kind: LogConfigApplied, Subject: e.Source.Daemon, Detail: e.Source.Call, Number: int64(e.Config.Version)}
	if s.members.heardConfig == e.Config.Version {
		applied.Duration = s.now.Sub(s.members.heardConfigAt)
	}
	s.emit(applied)
	s.emit(ApplyLimits{Limits: e.Config.Limits})
	s.dropRemovedRoutes()
	s.dropRemovedPools()
	for name, svc := range s.services {
		c, ok := e.Config.Services[name]
		svc.config = c
		if !ok && len(svc.servers) == 0 && len(svc.queue) == 0 {
			delete(s.services, name)
		}
	}
	s.tenantsChanged(earlier)
	s.members.selfGossipPending = true
}

// configHeard records that another daemon has told of a version. Each version is logged when
// it is heard of first, unless it is known already.
func (s *State) configHeard(e DaemonEntry) {
	if e.ConfigVersion <= max(s.Version(), s.members.heardConfig) {
		return
	}
	s.members.heardConfig, s.members.heardConfigAt = e.ConfigVersion, s.now
	s.emit(Log{Kind: LogConfigHeard, Subject: e.Name, Number: int64(e.ConfigVersion), Duration: e.Age})
}

// configOrigin says how this daemon learned of a version; nil without one.
func (s *State) configOrigin(c *Config) *ConfigOrigin {
	if c == nil {
		return nil
	}
	return &ConfigOrigin{Source: c.source, Age: s.now.Sub(c.appliedAt), ProofAge: s.ProofAge()}
}

// dropRemovedRoutes deletes what was learned about routes that the configuration no
// longer has.
func (s *State) dropRemovedRoutes() {
	keep := make(map[string]*routeState, len(s.config.Routes))
	for _, r := range s.config.Routes {
		if known, ok := s.routes[r.Name]; ok {
			keep[r.Name] = known
		}
	}
	s.routes = keep
}
