package capacity

import "slices"

// difference is how a ledger differs from the one before.
type difference struct {
	// tokens are the intents that changed or were struck off.
	tokens []string
	// lost counts those that served or were to, and no longer are; added counts the new ones.
	lost, added int
}

// diff compares a ledger with the one before.
func diff(before, after *Ledger) difference {
	var out difference
	now := make(map[string]*Intent, len(after.Intents))
	for k := range after.Intents {
		now[after.Intents[k].Token] = &after.Intents[k]
	}
	for k := range before.Intents {
		was := &before.Intents[k]
		is, stays := now[was.Token]
		delete(now, was.Token)
		if stays && sameIntent(*was, *is) {
			continue
		}
		out.tokens = append(out.tokens, was.Token)
		if was.Phase != PhaseLeaving && (!stays || is.Phase == PhaseLeaving) {
			out.lost++
		}
	}
	out.added = len(now)
	return out
}

// sameIntents reports whether two ledgers say the same.
func sameIntents(a, b *Ledger) bool {
	return slices.EqualFunc(a.Intents, b.Intents, sameIntent)
}

// sameIntent reports whether two intents say the same.
func sameIntent(x, y Intent) bool {
	return x.Token == y.Token && x.Pool == y.Pool && x.Model == y.Model && x.Version == y.Version &&
		x.Phase == y.Phase && x.Host == y.Host && x.Address == y.Address &&
		x.Next == y.Next && x.Fence == y.Fence && x.Role == y.Role && x.OrderedRole == y.OrderedRole &&
		slices.Equal(x.Loaded, y.Loaded) && x.LeavingSinceMs == y.LeavingSinceMs && x.PricePerHour == y.PricePerHour
}
