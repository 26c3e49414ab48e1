package capacity

// cellResult is what control costs in a cell of one size, for each second.
type cellResult struct {
	Varied                string
	Hosts                 int
	Servers               int
	Slots                 int
	HotKeys               int
	ChangesPerMinute      int
	ArbiterMessages       float64
	ArbiterBytes          float64
	ArbiterBusyPercent    float64
	MemberMessages        float64
	MemberBytes           float64
	MemberBusyPercent     float64
	PlatformCalls         float64
	ConfigurationInForce  float64 `json:"ConfigurationInForceMillis"`
	ConfigurationKilobyte float64
}
