package event

// Ticked says that time has passed. It is due every tenth of a second.
type Ticked struct {
	// Server names the backend server whose steward is meant, or is empty for the whole host.
	Server string
}

func (Ticked) event() {}

// ServerName returns the backend server whose steward is meant.
func (e Ticked) ServerName() string { return e.Server }
