package ledger

// Owners returns all processes with open requests, in no order.
func (s *Sharded) Owners() []Owner {
	seen := make(map[Owner]bool)
	var owners []Owner
	for _, l := range s.shards {
		for o := range l.openByOwner {
			if !seen[o] {
				owners = append(owners, o)
			}
			seen[o] = true
		}
	}
	return owners
}
