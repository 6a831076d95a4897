package settings

import "time"

const (
	kib = 1 << 10 // bytes per KiB
	mib = 1 << 20 // bytes per MiB

	microsecond = Duration(time.Microsecond)
	millisecond = Duration(time.Millisecond)
	second      = Duration(time.Second)
	minute      = Duration(time.Minute)
	hour        = Duration(time.Hour)
)

// Default returns the default settings. A settings file overrides only the fields that it
// contains.
func Default() Settings {
	return Settings{
		Name:     "gateway",
		Listen:   "127.0.0.1:9000",
		Region:   "us-east-1",
		Peers:    1,
		Rules:    defaultRules(),
		Limits:   defaultLimits(),
		Share:    defaultShare(),
		Accounts: defaultAccounts(),
		Log:      Log{Level: "info"},
	}
}

func defaultRules() Rules {
	return Rules{
		MaxAttempts:   3,
		MaxRetryAfter: 2 * second,
		Settle:        200 * millisecond,
		Round:         5 * millisecond,
		UsualUnits:    1,
		LargestUnits:  64,
		Budget:        Budget{Free: 3, Ratio: 0.1, Span: 5 * second},
	}
}

func defaultLimits() Limits {
	return Limits{
		Line:         8 * kib,
		Headers:      100,
		Head:         32 * kib,
		Replay:       64 * kib,
		Document:     4 * mib,
		Pipelined:    32 * kib,
		FanOut:       16,
		Conns:        8192,
		Calls:        8192,
		ConnsPerNode: 128,
		Streams:      64,
		NodeIdle:     30 * second,
		NodeAge:      10 * minute,
		Connect:      second,
		Margin:       20 * millisecond,
		ClientHead:   10 * second,
		ClientIdle:   2 * minute,
		ClientBody:   30 * second,
		Skew:         15 * minute,
		DrainWait:    30 * second,
	}
}

func defaultShare() Share {
	return Share{
		Order:     orderFair,
		Quantum:   64 * kib,
		Slice:     50 * microsecond,
		Window:    20 * millisecond,
		ByteTime:  1,
		Finishing: 4,
		Flows:     4096,
		Newcomers: 1,
		Depth:     2,
		Crowd:     64,
		Draw:      256 * kib,
		Lease:     10 * millisecond,
		Receive:   512 * kib,
		MaxWait:   2 * second,
		Overload: Overload{
			Target:   20 * millisecond,
			Interval: 100 * millisecond,
			Back:     100 * millisecond,
			MaxBack:  5 * second,
		},
	}
}

func defaultAccounts() Accounts {
	return Accounts{
		On:            true,
		Volumes:       64,
		Pairs:         128,
		Distributions: 16,
		Late:          8192,
		Batches:       64,
		LogBytes:      16 * mib,
		LogFiles:      4,
	}
}
