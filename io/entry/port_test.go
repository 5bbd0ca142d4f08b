package entry

import (
	"context"

	"corianderwing"
)

func (w *fixture) View(ws corianderwing.WorkspaceID) (corianderwing.SettingsView, bool, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w, w.fresh, ws == "ws" || ws == "other"
}
func (w *fixture) Views() []corianderwing.SettingsView { return []corianderwing.SettingsView{w} }
func (w *fixture) OnChange(f func())                   { w.onChange = append(w.onChange, f) }

func (w *fixture) Revision() corianderwing.Revision { return 7 }
func (w *fixture) Route(ws corianderwing.WorkspaceID, s corianderwing.ServiceID, _ string) (*corianderwing.EffectiveSettings, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.routes[string(ws)+"/"+string(s)]
	return e, ok
}
func (w *fixture) Key(h corianderwing.KeyHash) (corianderwing.Key, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.keys[h]
	return k, ok
}
func (w *fixture) Drained(corianderwing.UpstreamID) bool { return false }
func (w *fixture) Move(p corianderwing.PoolID) (corianderwing.Move, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.moves[p]
	return m, ok
}
func (w *fixture) Workspaces() []corianderwing.WorkspaceID {
	return []corianderwing.WorkspaceID{"ws", "other"}
}
func (w *fixture) Seat(corianderwing.InstanceID) (corianderwing.Seat, bool) {
	return corianderwing.Seat{}, false
}

func (w *fixture) Take(context.Context, *corianderwing.EffectiveSettings) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rejections > 0 {
		w.rejections--
		return corianderwing.Errorf(corianderwing.RateExceeded, "test")
	}
	return nil
}

func (w *fixture) Record(r corianderwing.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, r)
}

// Propose stores claims like a control group.
func (w *fixture) Propose(_ context.Context, _ corianderwing.GroupID, c corianderwing.Command) (corianderwing.Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing > 0 && (w.failingKind == "" || w.failingKind == c.Kind) {
		w.failing--
		return corianderwing.Result{}, corianderwing.Errorf(corianderwing.NoQuorum, "test")
	}
	if res, ok := w.applied[c.Request]; ok {
		return res, nil
	}
	id := string(c.Order.Workspace) + "/" + c.Order.Key
	old, ok := w.orders[id]
	if c.Kind == corianderwing.ResolveOrder || !ok || old.State == corianderwing.OrderFree {
		o := *c.Order
		w.orders[id], old = &o, &o
	}
	o := *old
	res := corianderwing.Result{Order: &o}
	w.applied[c.Request] = res
	return res, nil
}
func (w *fixture) Renew(context.Context, corianderwing.RenewRequest) (corianderwing.RenewResponse, error) {
	return corianderwing.RenewResponse{}, nil
}
func (w *fixture) Watch(context.Context, corianderwing.GroupID, corianderwing.Revision, func(corianderwing.Update) error) error {
	return nil
}

// fleet is the Fleet port of one instance.
type fleet struct {
	*fixture
	self corianderwing.Instance
}

func (f *fleet) Self() corianderwing.Instance { return f.self }
func (f *fleet) Instances() []corianderwing.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]corianderwing.Instance(nil), f.instances...)
}
func (f *fleet) Upstreams(_ corianderwing.PoolID, d corianderwing.DomainID) []corianderwing.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]corianderwing.Upstream(nil), f.upstreams[d]...)
}
func (f *fleet) Domains(corianderwing.PoolID) []corianderwing.DomainID {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []corianderwing.DomainID{f.self.Domain}
	for _, i := range f.instances {
		if _, ok := f.upstreams[i.Domain]; ok && i.Domain != f.self.Domain && i.ID == f.owners[i.Domain].ID {
			list = append(list, i.Domain)
		}
	}
	return list
}
func (f *fleet) Owner(_ corianderwing.PoolID, d corianderwing.DomainID) (corianderwing.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.owners[d]
	return i, ok
}
func (f *fleet) Owns(corianderwing.PoolID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners[f.self.Domain].ID == f.self.ID
}
func (f *fleet) Announce(u corianderwing.Upstream) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams[u.Domain] = append(f.upstreams[u.Domain], u)
	return nil
}
func (f *fleet) Report([]corianderwing.PoolLoad) {}
