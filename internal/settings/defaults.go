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
		Name:            "gateway",
		Listen:          "127.0.0.1:9000",
		Region:          "us-east-1",
		DispatcherCount: 1,
		Rules:           defaultRules(),
		Limits:          defaultLimits(),
		FairSharing:     defaultFairSharing(),
		Attribution:     defaultAttribution(),
		Log:             Log{Level: "info"},
	}
}

func defaultRules() Rules {
	return Rules{
		MaxAttempts:   3,
		MaxRetryAfter: 2 * second,
		Quiescence:    200 * millisecond,
		RoundTrip:     5 * millisecond,
		MeanUnits:     1,
		MaxUnits:      64,
		RetryBudget:   RetryBudget{MinRetries: 3, Ratio: 0.1, Window: 5 * second},
	}
}

func defaultLimits() Limits {
	return Limits{
		Line:            8 * kib,
		Headers:         100,
		Head:            32 * kib,
		Replay:          64 * kib,
		Document:        4 * mib,
		Memory:          64 * mib,
		Pipelined:       32 * kib,
		FanOut:          16,
		Conns:           8192,
		Requests:        8192,
		ConnsPerNode:    128,
		Streams:         64,
		NodeIdle:        30 * second,
		NodeAge:         10 * minute,
		Connect:         second,
		ResponseMargin:  20 * millisecond,
		ClientHead:      10 * second,
		ClientIdle:      2 * minute,
		ClientBody:      30 * second,
		ClockSkew:       15 * minute,
		ShutdownTimeout: 30 * second,
	}
}

func defaultFairSharing() FairSharing {
	return FairSharing{
		Order:            orderFair,
		Quantum:          64 * kib,
		PollInterval:     50 * microsecond,
		Window:           20 * millisecond,
		ByteTime:         1,
		InProgressWeight: 4,
		Flows:            4096,
		NewConnsWeight:   1,
		Depth:            2,
		WaitersPerGrant:  64,
		GrantBytes:       256 * kib,
		GrantTimeout:     10 * millisecond,
		ReceiveBuffer:    512 * kib,
		MaxDelay:         2 * second,
		Overload: Overload{
			Target:        20 * millisecond,
			Interval:      100 * millisecond,
			RetryAfter:    100 * millisecond,
			MaxRetryAfter: 5 * second,
		},
	}
}

func defaultAttribution() Attribution {
	return Attribution{
		Enabled:       true,
		Volumes:       64,
		Pairs:         128,
		Distributions: 16,
		LateReports:   8192,
		Batches:       64,
		LogBytes:      16 * mib,
		LogFiles:      4,
	}
}
