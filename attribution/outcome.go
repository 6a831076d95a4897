package attribution

// Outcome is how a request ended for its client.
type Outcome uint8

// The outcomes.
const (
	Completed Outcome = iota // its node responded
	Rejected                 // the gateway rejected it; a retry is safe
	Failed                   // the gateway failed it; whether it was executed is unknown
	Aborted                  // its response broke off
	Canceled                 // its client left first
	outcomeCount
)

// Outcomes is the number of outcomes.
const Outcomes = int(outcomeCount)

// outcomeNames are the names in reports, which are a stable interface.
var outcomeNames = [Outcomes]string{
	Completed: "answered",
	Rejected:  "refused",
	Failed:    "failed",
	Aborted:   "cut",
	Canceled:  "left",
}

// String returns the outcome's name in reports.
func (o Outcome) String() string { return outcomeNames[o] }
