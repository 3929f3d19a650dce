package config

import "time"

// Default returns the settings that apply where a file sets no value.
func Default() Settings {
	return Settings{
		StopTimeout: Duration(30 * time.Second),
		Control:     defaultControl(),
		Entry:       defaultEntry(),
		Agent:       defaultAgent(),
		Fleet:       Fleet{Tolerate: 1},
		Debug:       Debug{Listen: "127.0.0.1:0"},
		Log:         Log{Level: "info", Output: "stderr"},
	}
}

func defaultControl() Control {
	return Control{
		Listen:          "127.0.0.1:0",
		Lease:           Duration(5 * time.Second),
		ElectionTimeout: Duration(time.Second),
		Retention:       Duration(time.Hour),
		Remember:        Duration(30 * 24 * time.Hour),
		SnapshotEntries: 20000,
	}
}

func defaultEntry() Entry {
	return Entry{
		Listen:         "127.0.0.1:0",
		MaxBody:        8 << 20,
		MaxTasks:       390,
		MaxPayload:     1 << 20,
		QueueTasks:     50000,
		QueueBytes:     256 << 20,
		MaxWait:        Duration(10 * time.Second),
		Policy:         "least",
		Order:          "aged",
		IdleTimeout:    Duration(2 * time.Minute),
		ReadTimeout:    Duration(15 * time.Second),
		DefaultTimeout: Duration(2 * time.Minute),
		DrainDelay:     Duration(3 * time.Second),
	}
}

func defaultAgent() Agent {
	return Agent{
		Listen:      "127.0.0.1:0",
		Slots:       8,
		Connections: 64,
		QueueTasks:  64,
		QueueBytes:  16 << 20,
		ResultBytes: 128 << 20,
	}
}
