package operator

import (
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/query"
)

const (
	removeKey   = "remove"
	maxPriority = 9
	// maxCount bounds replicas, hosts and requests in a declaration.
	maxCount = 1_000_000
)

// ErrRefused marks a change that the rules of the configuration refuse.
var ErrRefused = errors.New("refused")

func refusef(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrRefused)
}

// EditOf returns the change that a set command asks for. The edit may be run
// any number of times.
func EditOf(set *query.Set) func(site *config.Site) error {
	return func(site *config.Site) error {
		name := set.Name.Text
		switch set.Object.Text {
		case "model":
			return editList(&site.Models, set, func(m config.Model) bool { return string(m.Name) == name }, config.Model{Name: ident.Model(name), Replicas: 1}, editModel)
		case "service":
			return editList(&site.Services, set, func(s config.Service) bool { return string(s.Name) == name }, config.Service{Name: ident.Service(name)}, editService)
		case "workspace":
			return editList(&site.Workspaces, set, func(w config.Workspace) bool { return string(w.Name) == name }, config.Workspace{Name: ident.Workspace(name), Share: 1}, editWorkspace)
		case "kind":
			return editList(&site.Kinds, set, func(k config.Kind) bool { return string(k.Name) == name }, config.Kind{Name: ident.Kind(name), Worth: 1}, editKind)
		case "capacity":
			return editCapacity(site, set)
		case "weights":
			return editWeights(site, set)
		}
		return refusef("there is no object %q", set.Object.Text)
	}
}

// editList changes, adds or removes one element of list. The list is copied, so
// that the version in force stays as it is.
func editList[T any](list *[]T, set *query.Set, same func(T) bool, fresh T, edit func(*T, *query.Field) error) error {
	out := slices.Clone(*list)
	at := slices.IndexFunc(out, same)
	if removes(set) {
		if at >= 0 {
			out = slices.Delete(out, at, at+1)
		}
		*list = out
		return nil
	}
	if at < 0 {
		at = len(out)
		out = append(out, fresh)
	}
	for _, field := range set.Fields {
		if field.Key.Text == removeKey {
			continue
		}
		if err := edit(&out[at], field); err != nil {
			return err
		}
	}
	*list = out
	return nil
}

func removes(set *query.Set) bool {
	return slices.ContainsFunc(set.Fields, func(f *query.Field) bool {
		return f.Key.Text == removeKey && f.Value.Text == "true"
	})
}

func editModel(m *config.Model, field *query.Field) (err error) {
	switch field.Key.Text {
	case "version":
		m.Version = ident.Version(field.Value.Text)
	case "replicas":
		m.Replicas, err = whole(field, maxCount)
	case "priority":
		m.Priority, err = whole(field, maxPriority)
	case "adapters":
		m.Adapters = nil
		for _, name := range strings.FieldsFunc(field.Value.Text, func(r rune) bool { return r == ',' }) {
			m.Adapters = append(m.Adapters, ident.Adapter(name))
		}
	}
	return err
}

func editService(s *config.Service, field *query.Field) error {
	if field.Key.Text == "repeatable" {
		s.Repeatable = field.Value.Text == "true"
	}
	return nil
}

func editWorkspace(w *config.Workspace, field *query.Field) (err error) {
	switch field.Key.Text {
	case "share":
		w.Share, err = atLeastZero(field)
		if err == nil && w.Share == 0 {
			return refusef("share must be above 0")
		}
	case "maxInFlight":
		w.MaxInFlight, err = whole(field, maxCount)
	}
	return err
}

func editKind(k *config.Kind, field *query.Field) (err error) {
	if field.Key.Text == "worth" {
		k.Worth, err = atLeastZero(field)
	}
	return err
}

func editCapacity(site *config.Site, set *query.Set) error {
	domain, class, ok := strings.Cut(set.Name.Text, "/")
	if !ok || domain == "" || class == "" {
		return refusef("the name of capacity is <failure domain>/<host class>, not %q", set.Name.Text)
	}
	fresh := config.Capacity{FailureDomain: ident.FailureDomain(domain), HostClass: ident.HostClass(class)}
	same := func(c config.Capacity) bool {
		return c.FailureDomain == fresh.FailureDomain && c.HostClass == fresh.HostClass
	}
	return editList(&site.Capacity, set, same, fresh, func(c *config.Capacity, field *query.Field) (err error) {
		switch field.Key.Text {
		case "maxHosts":
			c.MaxHosts, err = whole(field, maxCount)
		case "maxPricePerHour":
			c.MaxPricePerHour, err = atLeastZero(field)
		case "reclaimable":
			c.Reclaimable = field.Value.Text == "true"
		}
		return err
	})
}

func editWeights(site *config.Site, set *query.Set) error {
	if set.Name.Text != "site" {
		return refusef("weights are those of the whole site: set weights site latency=0.5")
	}
	for _, field := range set.Fields {
		value, err := atLeastZero(field)
		if err != nil {
			return err
		}
		if value > 1 {
			return refusef("latency must be from 0 to 1, not %s", field.Value.Text)
		}
		site.Weights.Latency = value
	}
	return nil
}

// whole reads a whole number from 0 to limit.
func whole(field *query.Field, limit int) (int, error) {
	n, err := strconv.Atoi(field.Value.Text)
	if err != nil || n < 0 || n > limit {
		return 0, refusef("%s must be a whole number from 0 to %d, not %s", field.Key.Text, limit, field.Value.Text)
	}
	return n, nil
}

func atLeastZero(field *query.Field) (float64, error) {
	value, err := strconv.ParseFloat(field.Value.Text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return 0, refusef("%s must be a number from 0 up, not %s", field.Key.Text, field.Value.Text)
	}
	return value, nil
}
