package membership

// surplus are the fields of a record beyond the known ones, which a later release
// has added. They are passed on as they came, so that the nodes of that release
// hear of them through others, and nodes of both releases have the same digests.
type surplus struct {
	fields  int
	encoded string
}

func (s surplus) less(other surplus) bool {
	if s.fields != other.fields {
		return s.fields < other.fields
	}
	return s.encoded < other.encoded
}
