package attribution

import (
	"errors"
	"fmt"
	"time"
)

// Resolution describes a ring of time slots that all have the same length.
type Resolution struct {
	Slot  time.Duration // length of a slot
	Slots int           // number of slots in the ring
}

// Config sets the resolutions of an aggregator and bounds its memory.
type Config struct {
	Resolutions   []Resolution  // finest first; each slot length is a multiple of the previous one
	Volumes       int           // maximum number of volumes in a slot; the slot sums all others
	Pairs         int           // maximum number of pairs in a slot
	Distributions int           // maximum number of volumes with distributions in each slot but the finest; 0: none
	CloseDelay    time.Duration // time from the end of a slot until the aggregator closes it
}

// DefaultConfig returns a configuration that keeps slots of 1 second for 2 minutes, slots of 10
// seconds for 30 minutes, and slots of 5 minutes for 24 hours.
func DefaultConfig() Config {
	return Config{
		Resolutions: []Resolution{
			{Slot: time.Second, Slots: 120},
			{Slot: 10 * time.Second, Slots: 180},
			{Slot: 5 * time.Minute, Slots: 288},
		},
		Volumes:       64,
		Pairs:         128,
		Distributions: 16,
		CloseDelay:    time.Second,
	}
}

func (c Config) check() error {
	if len(c.Resolutions) == 0 || c.Volumes < 1 || c.Pairs < 1 || c.Distributions < 0 || c.CloseDelay < 0 {
		return errors.New("attribution: at least 1 resolution, 1 volume and 1 pair are required; " +
			"the numbers of distributions and the settling time must not be negative")
	}
	for i, r := range c.Resolutions {
		if r.Slot <= 0 || r.Slots < 2 {
			return fmt.Errorf("attribution: resolution of %d slots of %v: must have at least 2 slots longer than 0s",
				r.Slots, r.Slot)
		}
		if i > 0 && (r.Slot%c.Resolutions[i-1].Slot != 0 || r.Slot <= c.Resolutions[i-1].Slot) {
			return fmt.Errorf("attribution: slot length %v must be a larger multiple of the previous slot length %v",
				r.Slot, c.Resolutions[i-1].Slot)
		}
	}
	return nil
}
