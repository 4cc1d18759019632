package logevent

// Log events 1600 to 1699, of the component platform.
var platformEvents = []Def{}
