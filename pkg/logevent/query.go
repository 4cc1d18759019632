package logevent

// Log events 1000 to 1099, of the component query.
var queryEvents = []Def{}
