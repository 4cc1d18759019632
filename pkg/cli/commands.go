package cli

// Headings in the list of commands.
const (
	groupQueries   = "queries"
	groupOperation = "operation"
	groupOther     = "other"
)

// commands is the table of all commands. A new command needs an Action and an
// entry here.
func commands() []Command {
	return []Command{
		{Name: "lookup", Group: groupQueries, Synopsis: "show which daemons a caller should use", New: func() Action { return new(lookupAction) }},
		{Name: "query", Group: groupQueries, Args: "TEXT", Synopsis: "run one query", New: func() Action { return new(queryAction) }},
		{Name: "load", Group: groupQueries, Args: "[QUERY...]", Synopsis: "send a load of queries and report latencies, coverage and outcomes",
			New: func() Action { return new(loadAction) }},
		{Name: "bundle", Group: groupOperation, Synopsis: "validate, sign and roll out bundles", Sub: bundleCommands()},
		{Name: "domain", Group: groupOperation, Synopsis: "take failure domains out and bring them back", Sub: domainCommands()},
		{Name: "server", Group: groupOperation, Synopsis: "drain backend servers and put them back", Sub: serverCommands()},
		{Name: "status", Group: groupOperation, Synopsis: "show what is out of service and what each daemon has in force",
			New: func() Action { return new(statusAction) }},
		{Name: "edge", Group: groupOperation, Synopsis: "look into edge daemons on the users' platform", Sub: edgeCommands()},
		{Name: "replay", Group: groupOther, Args: "FILE", Synopsis: "run a recorded trace through a new reducer and compare its effects",
			New: func() Action { return new(replayAction) }},
		{Name: "demo", Group: groupOther, Synopsis: "run a whole query tier in this process, take a failure domain out and check every answer",
			New: func() Action { return new(demoAction) }},
		{Name: "version", Group: groupOther, Synopsis: "print the version of the program",
			New: func() Action { return new(versionAction) }},
	}
}

func bundleCommands() []Command {
	return []Command{
		{Name: "validate", Args: "FILE", Synopsis: "check a bundle and print its digest", New: func() Action { return new(validateAction) }},
		{Name: "diff", Args: "FILE|VERSION|active FILE|VERSION|active", Synopsis: "show what changes from one bundle to another", New: func() Action { return new(diffAction) }},
		{Name: "keygen", Args: "FILE", Synopsis: "write a new private key to a file and print the public key", New: func() Action { return new(keygenAction) }},
		{Name: "propose", Args: "FILE", Synopsis: "store a bundle on the platform for signing", New: func() Action { return new(proposeAction) }},
		{Name: "sign", Args: "FILE", Synopsis: "sign the proposal that has the contents of the file", New: func() Action { return new(signAction) }},
		{Name: "roll-out", Args: "VERSION", Synopsis: "put a signed proposal into effect", New: func() Action { return new(rollOutAction) }},
		{Name: "status", Synopsis: "list proposals with their signers and the active bundle", New: func() Action { return new(bundleStatusAction) }},
	}
}

func domainCommands() []Command {
	return []Command{
		{Name: "take-out", Args: "FAILURE-DOMAIN", Synopsis: "take a failure domain out of service", New: func() Action { return &controlsAction{verb: takeOut} }},
		{Name: "bring-back", Args: "FAILURE-DOMAIN", Synopsis: "put a failure domain back into service", New: func() Action { return &controlsAction{verb: bringBack} }},
	}
}

func serverCommands() []Command {
	return []Command{
		{Name: "drain", Args: "BACKEND-SERVER", Synopsis: "take a backend server out of service", New: func() Action { return &controlsAction{verb: drain} }},
		{Name: "undrain", Args: "BACKEND-SERVER", Synopsis: "put a backend server back into service", New: func() Action { return &controlsAction{verb: undrain} }},
	}
}
