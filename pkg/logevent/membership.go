package logevent

// Log events 1200 to 1299, of the component membership.
var membershipEvents = []Def{}
