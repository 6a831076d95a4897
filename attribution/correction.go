package attribution

import "time"

// Correction reattributes time of a request that was entered before, after a late report.
type Correction struct {
	Volume string          `json:"volume"`
	Ended  time.Duration   `json:"ended_ns"`
	From   Component       `json:"from"`
	Had    time.Duration   `json:"had_ns"` // the request's time in From before the correction
	To     []ComponentTime `json:"to"`
	Behind []Contribution  `json:"behind,omitempty"` // division of what was moved to NodeQueue
}

// ComponentTime is time attributed to a component.
type ComponentTime struct {
	Component Component     `json:"cause"`
	Time      time.Duration `json:"ns"`
}
