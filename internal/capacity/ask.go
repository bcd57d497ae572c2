package capacity

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/cloud"
)

const (
	// minHostsToAsk is from how many listed hosts on a few are asked for one by one
	// instead of listing all.
	minHostsToAsk = 200
	// maxAsked is how many hosts are asked for one by one before a plan; beyond it all are listed.
	maxAsked = 8
	// askAgainAfter is after how long a marked host is asked for once more.
	askAgainAfter = 30 * time.Second
)

var errOtherHost = errors.New("the cloud gave another host for a known token")

// concern is what has to be learnt of the cloud before the next plan.
type concern struct {
	// all is true when all hosts have to be listed, otherwise those of intents are asked for.
	all     bool
	intents []Intent
	// marks are the marks that were looked at, of which there were changes before.
	marks   []fleet.Mark
	changes uint64
	// seen is the newest host list, and missing the hosts that it does not show.
	seen    *seenHosts
	missing map[ident.Host]bool
}

// none reports whether nothing has to be learnt.
func (c *concern) none() bool { return !c.all && len(c.intents) == 0 }

// concerns returns what has to be learnt before the next plan.
func (r *Reconciler) concerns(site *config.Site) concern {
	last := &r.listing
	out := concern{changes: r.marks(), seen: r.seen.Load()}
	if r.options.Marks != nil {
		out.marks = r.options.Marks.Marks()
	}
	if !r.known || last.at.IsZero() || r.options.Clock().Sub(last.at) >= last.interval() {
		out.all = true
		return out
	}
	out.missing = r.missingHosts(out.seen)
	if len(last.hosts) < r.askFrom {
		out.all = len(last.unsettled) > 0 || len(out.missing) > 0 || last.marks != out.changes || r.anyWaits(site)
		return out
	}
	r.collect(site, &out)
	return out
}

// collect fills in the intents whose hosts have to be asked for.
func (r *Reconciler) collect(site *config.Site, out *concern) {
	marked := r.newlyMarked(out)
	adapters := adaptersOf(site)
	now := r.options.Clock()
	for _, l := range r.ledgers {
		for k := range l.Intents {
			i := &l.Intents[k]
			due, again := r.listing.again[i.Token]
			waits := i.waits(adapters[i.Model]) && i.Phase != PhaseStarting // which the start asks for
			if !waits && !r.listing.unsettled[i.Token] && !marked[i.Host] && !out.missing[i.Host] && (!again || now.Before(due)) {
				continue
			}
			out.all = out.all || i.Host == ""
			out.intents = append(out.intents, *i)
		}
	}
	out.all = out.all || len(out.intents) > maxAsked
}

// newlyMarked returns the hosts with a mark that is not known yet.
func (r *Reconciler) newlyMarked(out *concern) map[ident.Host]bool {
	if out.changes == r.listing.marks {
		return nil
	}
	hosts := make(map[ident.Host]bool)
	for _, m := range out.marks {
		if !m.At.After(r.listing.seen[m.Subject]) {
			continue
		}
		hosts[m.Subject.Host] = m.Subject.Host != ""
		if host, ok := hostOf(m.Subject.Upstream); ok {
			hosts[host] = true
		}
	}
	return hosts
}

// learn learns what has to be learnt. It reports whether all hosts were listed.
func (r *Reconciler) learn(ctx context.Context, what *concern) (listed bool, err error) {
	if listed, err = r.listOrAsk(ctx, what); err == nil {
		r.noteLookedFor(what)
	}
	return listed, err
}

// listOrAsk is learn but for the note of what was looked for.
func (r *Reconciler) listOrAsk(ctx context.Context, what *concern) (listed bool, err error) {
	if what.all {
		return true, r.listHosts(ctx, what)
	}
	marked := r.newlyMarked(what)
	for k := range what.intents {
		if err := r.ask(ctx, &what.intents[k]); err != nil {
			r.options.Logger.Info("host not learnt, all are listed", "host", what.intents[k].Host, "error", err)
			return true, r.listHosts(ctx, what)
		}
	}
	for k := range what.intents {
		i := &what.intents[k]
		delete(r.listing.unsettled, i.Token)
		delete(r.listing.again, i.Token)
		if marked[i.Host] {
			r.listing.again[i.Token] = r.options.Clock().Add(askAgainAfter)
		}
	}
	r.listing.noteMarks(what)
	return false, nil
}

// ask brings the listing up to date with what the cloud says of an intent's host. The
// start that gave it is sent again, which returns the host as it is now.
func (r *Reconciler) ask(ctx context.Context, i *Intent) error {
	if _, err := r.options.Lease.Check(); err != nil {
		return err
	}
	host, err := r.options.Cloud.Start(ctx, cloud.Start{ClientToken: i.Token, Pool: i.Pool})
	if err != nil {
		return err
	}
	if host.ID != i.Host {
		return errOtherHost
	}
	at := slices.IndexFunc(r.listing.hosts, func(h cloud.Host) bool { return h.ClientToken == i.Token })
	if at < 0 {
		r.listing.hosts = append(r.listing.hosts, host)
		return nil
	}
	r.listing.hosts[at] = host
	return nil
}

// follows reports whether a plan changes no more than what was learnt of the hosts of
// some intents, and replaces no more of them than are lost.
func (r *Reconciler) follows(plan *Planned, asked []Intent) bool {
	wasAsked := make(map[string]bool, len(asked))
	for k := range asked {
		wasAsked[asked[k].Token] = true
	}
	lost, added := 0, 0
	for _, l := range plan.Ledgers {
		known := r.ledgers[l.FailureDomain]
		if known == nil {
			return false
		}
		change := diff(known, l)
		for _, token := range change.tokens {
			if !wasAsked[token] {
				return false
			}
		}
		lost += change.lost
		added += change.added
	}
	return added <= lost
}
