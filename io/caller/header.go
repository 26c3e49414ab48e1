package caller

// The headers between callers and an entry host.
const (
	HeaderRank      = "Redwingsill-Rank"       // the name of a declared rank
	HeaderDeadline  = "Redwingsill-Deadline"   // the time that the caller waits, as "250ms"
	HeaderRequestID = "Redwingsill-Request-Id" // a UUID of version 7, for work that must not repeat
	HeaderCaller    = "Redwingsill-Caller"     // who asks, for fairness between callers
	HeaderOutcome   = "Redwingsill-Outcome"    // Answered, NotRun or Unknown
	HeaderReason    = "Redwingsill-Reason"     // why, where the outcome is not Answered
	HeaderKept      = "Redwingsill-Kept"       // "true" where the answer was kept from an earlier run of the id
)
