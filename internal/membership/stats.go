package membership

// Stats counts events since the member's start.
type Stats struct {
	// SentBytes and ReceivedBytes count datagram payloads, without UDP and IP headers.
	SentBytes, ReceivedBytes uint64
	// SentDatagrams and ReceivedDatagrams count datagrams.
	SentDatagrams, ReceivedDatagrams uint64
	// Rejected counts datagrams that failed authentication or decoding.
	Rejected uint64
	// Suspicions, Refutations and Deaths count state changes of members seen by this one.
	Suspicions, Refutations, Deaths uint64
	// Syncs counts the syncs that this member started.
	Syncs uint64
	// Pauses counts how often this process was found to have been suspended.
	Pauses uint64
}
