package capacity

// groupResult is the control load of a group of one size. Messages, bytes and platform calls are per second.
type groupResult struct {
	// Varied names the dimension in which the size differs from [baseSize].
	Varied            string
	Hosts             int
	Servers           int
	Slots             int
	HotKeys           int
	ChangesPerMinute  int
	LeaderMessages    float64 `json:"ArbiterMessages"`
	LeaderBytes       float64 `json:"ArbiterBytes"`
	LeaderBusyPercent float64 `json:"ArbiterBusyPercent"`
	MemberMessages    float64
	MemberBytes       float64
	MemberBusyPercent float64
	PlatformCalls     float64
	// ConfigurationAppliedMillis is the longest time in which a configuration change reached every host.
	ConfigurationAppliedMillis float64 `json:"ConfigurationInForceMillis"`
	ConfigurationKilobytes     float64 `json:"ConfigurationKilobyte"`
}
