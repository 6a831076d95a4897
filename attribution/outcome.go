package attribution

// Outcome is the way in which a request ended for its client.
type Outcome uint8

// The outcomes of a request, as its client sees them.
const (
	Completed Outcome = iota // a node responded
	Rejected                 // the gateway rejected the request before its execution; a retry is safe
	Failed                   // the gateway returned an error; whether a node executed the request is unknown
	Aborted                  // the response ended before it was complete
	Canceled                 // the client canceled the request
	outcomeCount
)

// Outcomes is the number of outcomes.
const Outcomes = int(outcomeCount)

// outcomeNames holds the name of each outcome in reports. Tools read these names, so they must
// not change.
var outcomeNames = [Outcomes]string{
	Completed: "answered",
	Rejected:  "refused",
	Failed:    "failed",
	Aborted:   "cut",
	Canceled:  "left",
}

// String returns the outcome's name as reports print it.
func (o Outcome) String() string { return outcomeNames[o] }
