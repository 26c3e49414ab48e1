package capacity

// groupResult is the control load of a group of one size. Messages, bytes and platform calls are per second. The fields that
// begin with Member describe one host that is not the leader; PlatformCalls are those of all hosts.
type groupResult struct {
	// Varied names the dimension in which the size differs from [baseSize].
	Varied           string
	Hosts            int
	Servers          int
	HashSlots        int `json:"Slots"`
	HotKeys          int
	ChangesPerMinute int
	LeaderMessages   float64 `json:"ArbiterMessages"`
	LeaderBytes      float64 `json:"ArbiterBytes"`
	// LeaderBusyPercent and MemberBusyPercent are the real time spent in the host's steps, as a percentage of the virtual time.
	LeaderBusyPercent float64 `json:"ArbiterBusyPercent"`
	MemberMessages    float64
	MemberBytes       float64
	MemberBusyPercent float64
	PlatformCalls     float64
	// ConfigurationAppliedMillis is the longest time in which a configuration change reached every host.
	ConfigurationAppliedMillis float64 `json:"ConfigurationInForceMillis"`
	// ConfigurationKilobytes is the size of the configuration as JSON, in units of 1000 bytes.
	ConfigurationKilobytes float64 `json:"ConfigurationKilobyte"`
}
