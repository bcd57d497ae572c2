package capacity

import "slices"

// ledgerDiff is the difference between two versions of a ledger.
type ledgerDiff struct {
	// changedTokens are the tokens of the intents that changed or were removed.
	changedTokens []string
	// lost counts the intents that were removed or began to leave; added counts the new ones.
	lost, added int
}

// diffLedgers compares two versions of a ledger.
func diffLedgers(before, after *Ledger) ledgerDiff {
	var out ledgerDiff
	remaining := make(map[string]*Intent, len(after.Intents))
	for k := range after.Intents {
		remaining[after.Intents[k].Token] = &after.Intents[k]
	}
	for k := range before.Intents {
		old := &before.Intents[k]
		current, stays := remaining[old.Token]
		delete(remaining, old.Token)
		if stays && sameIntent(*old, *current) {
			continue
		}
		out.changedTokens = append(out.changedTokens, old.Token)
		if old.Phase != PhaseLeaving && (!stays || current.Phase == PhaseLeaving) {
			out.lost++
		}
	}
	out.added = len(remaining)
	return out
}

// sameIntents reports whether two ledgers have equal intents.
func sameIntents(a, b *Ledger) bool {
	return slices.EqualFunc(a.Intents, b.Intents, sameIntent)
}

// sameIntent reports whether two intents are equal.
func sameIntent(x, y Intent) bool {
	return x.Token == y.Token && x.Pool == y.Pool && x.Model == y.Model && x.Version == y.Version &&
		x.Phase == y.Phase && x.Host == y.Host && x.Address == y.Address &&
		x.Next == y.Next && x.Fence == y.Fence && x.Role == y.Role && x.OrderedRole == y.OrderedRole &&
		slices.Equal(x.Loaded, y.Loaded) && x.LeavingSinceMs == y.LeavingSinceMs && x.PricePerHour == y.PricePerHour
}
