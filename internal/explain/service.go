package explain

// ServiceName is the name under which nodes offer Service to each other.
const ServiceName = "Explain"

// Service answers other nodes' questions by net/rpc.
type Service struct {
	journal *Journal
}

// NewService returns the service of journal.
func NewService(journal *Journal) *Service {
	return &Service{journal: journal}
}

// LookupRequest asks what a node remembers about a subject.
type LookupRequest struct {
	Subject Subject
}

// LookupReply answers a LookupRequest.
type LookupReply struct {
	Entries []Entry
}

// Lookup answers a LookupRequest.
func (s *Service) Lookup(args *LookupRequest, reply *LookupReply) error {
	reply.Entries = s.journal.Lookup(args.Subject)
	return nil
}
