package membership

// unknownFields are the fields that a later release appended to a record. They are passed
// on unchanged, so that nodes of that release receive them through others and nodes of
// both releases compute the same digests.
type unknownFields struct {
	count   int
	encoded string
}

func (s unknownFields) less(other unknownFields) bool {
	if s.count != other.count {
		return s.count < other.count
	}
	return s.encoded < other.encoded
}
