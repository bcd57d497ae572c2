package explain

// ServiceName is the net/rpc name of Service.
const ServiceName = "Explain"

// Service returns this node's journal entries to other nodes, which call it by net/rpc.
type Service struct {
	journal *Journal
}

// NewService returns a Service that reads journal.
func NewService(journal *Journal) *Service {
	return &Service{journal: journal}
}

// LookupRequest asks a node for its journal entries about a subject.
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
