package logevent

// Log events 1400 to 1499, of the component runtime.
var runtimeEvents = []Def{}
