package membership

// Protocol is the version of the format and meaning of all messages between nodes. Nodes
// with different protocols see each other as members but give each other no duties.
type Protocol uint32

// CurrentProtocol is the version of this release. It must be raised by one in each release
// whose nodes the previous release could not read or would misunderstand: when a message
// encoded by position gains or loses a field, when a field changes its meaning, or when
// nodes rely on a new call. It stays the same for an optional field in a message encoded
// by name, and for a field appended to a member's record.
const CurrentProtocol Protocol = 1
