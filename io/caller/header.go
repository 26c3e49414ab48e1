package caller

// Header fields between callers and an entry host.
const (
	HeaderRank      = "Redwingsill-Rank"       // the name of a declared rank
	HeaderDeadline  = "Redwingsill-Deadline"   // how long the caller waits, such as "250ms"
	HeaderRequestID = "Redwingsill-Request-Id" // a UUID of version 7; requests with the same ID run at most once
	HeaderCaller    = "Redwingsill-Caller"     // the name of the caller, for fairness between callers
	HeaderOutcome   = "Redwingsill-Outcome"    // Answered, NotRun or Unknown
	HeaderReason    = "Redwingsill-Reason"     // the reason for an outcome other than Answered
	HeaderReplayed  = "Redwingsill-Kept"       // "true" if the answer is that of an earlier request with the same ID
)
