package membership

// Protocol is a number for the form and the meaning of all messages between
// nodes. Nodes of one protocol understand each other; nodes of two see each other
// as members, but neither counts on the other for a duty.
type Protocol uint32

// CurrentProtocol is what this release speaks. It is raised by one in each release
// whose nodes the release before could not read or would misunderstand: when a
// message whose fields go by position gets or loses one, when a field changes its
// meaning, or when nodes rely on a call that is new. It stays as it is for a field
// that may be missing in a message whose fields go by name, and for one behind the
// last of a member's record.
const CurrentProtocol Protocol = 1
