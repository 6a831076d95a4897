package attribution

import "time"

// Correction reattributes time of a request that was added earlier, because a node reported late.
type Correction struct {
	Volume       string          `json:"volume"`
	Ended        time.Duration   `json:"ended_ns"`
	From         Component       `json:"from"`
	PreviousTime time.Duration   `json:"had_ns"` // the request's time in From before the correction
	To           []ComponentTime `json:"to"`
	Behind       []Contribution  `json:"behind,omitempty"` // divides the time moved to NodeQueue among volumes
}

// ComponentTime is an amount of time attributed to one component.
type ComponentTime struct {
	Component Component     `json:"cause"`
	Time      time.Duration `json:"ns"`
}
