package logevent

// Log events 1100 to 1199, of the component slots.
var slotsEvents = []Def{}
