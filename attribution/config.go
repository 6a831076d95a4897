package attribution

import (
	"errors"
	"fmt"
	"time"
)

// Resolution is a ring of time slots of one length.
type Resolution struct {
	Slot  time.Duration // length of a slot
	Slots int           // how many are kept
}

// Config bounds an aggregator.
type Config struct {
	Resolutions   []Resolution  // finest first, each slot a multiple of the one before
	Volumes       int           // named in each slot; the others are summed
	Pairs         int           // named in each slot
	Distributions int           // volumes with distributions in each slot but the finest; 0: none
	Settle        time.Duration // a slot is closed this long after its end
}

// DefaultConfig returns a configuration that keeps seconds for two minutes, tens of seconds for
// half an hour and five minutes for a day.
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
		Settle:        time.Second,
	}
}

func (c Config) check() error {
	if len(c.Resolutions) == 0 || c.Volumes < 1 || c.Pairs < 1 || c.Distributions < 0 || c.Settle < 0 {
		return errors.New("attribution: want resolutions, and room for volumes and pairs")
	}
	for i, r := range c.Resolutions {
		if r.Slot <= 0 || r.Slots < 2 {
			return fmt.Errorf("attribution: a resolution of %d slots of %v: want 2 or more above 0", r.Slots, r.Slot)
		}
		if i > 0 && (r.Slot%c.Resolutions[i-1].Slot != 0 || r.Slot <= c.Resolutions[i-1].Slot) {
			return fmt.Errorf("attribution: slots of %v after %v: want a multiple", r.Slot, c.Resolutions[i-1].Slot)
		}
	}
	return nil
}
