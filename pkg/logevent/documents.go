package logevent

// Log events 1300 to 1399, of the component documents.
var documentsEvents = []Def{}
