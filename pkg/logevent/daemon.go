package logevent

// Log events 1500 to 1599, of the component daemon.
var daemonEvents = []Def{}
