package membership

// Stats counts what a member has done since its start.
type Stats struct {
	// SentBytes and ReceivedBytes are payloads of datagrams, without UDP and IP headers.
	SentBytes, ReceivedBytes uint64
	// SentDatagrams and ReceivedDatagrams count datagrams.
	SentDatagrams, ReceivedDatagrams uint64
	// Rejected counts datagrams that were not authentic or could not be read.
	Rejected uint64
	// Suspicions, Refutations and Deaths count what was learnt of other members.
	Suspicions, Refutations, Deaths uint64
	// Syncs counts the comparisons that this member began.
	Syncs uint64
	// Pauses counts how often this process was found not to have run in time.
	Pauses uint64
}
