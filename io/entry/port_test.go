package entry

import (
	"context"

	"corianderwing"
)

func (w *world) View(ws corianderwing.WorkspaceID) (corianderwing.SettingsView, bool, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w, w.fresh, ws == "ws" || ws == "other"
}
func (w *world) Views() []corianderwing.SettingsView { return []corianderwing.SettingsView{w} }
func (w *world) OnChange(f func())                   { w.onChange = append(w.onChange, f) }

func (w *world) Revision() corianderwing.Revision { return 7 }
func (w *world) Route(ws corianderwing.WorkspaceID, s corianderwing.ServiceID, _ string) (*corianderwing.EffectiveSettings, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e, ok := w.routes[string(ws)+"/"+string(s)]
	return e, ok
}
func (w *world) Key(h corianderwing.KeyHash) (corianderwing.Key, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k, ok := w.keys[h]
	return k, ok
}
func (w *world) Drained(corianderwing.UpstreamID) bool { return false }
func (w *world) Move(p corianderwing.PoolID) (corianderwing.Move, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.moves[p]
	return m, ok
}
func (w *world) Workspaces() []corianderwing.WorkspaceID {
	return []corianderwing.WorkspaceID{"ws", "other"}
}
func (w *world) Seat(corianderwing.InstanceID) (corianderwing.Seat, bool) {
	return corianderwing.Seat{}, false
}

func (w *world) Take(context.Context, *corianderwing.EffectiveSettings) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.over > 0 {
		w.over--
		return corianderwing.Errorf(corianderwing.RateExceeded, "test")
	}
	return nil
}

func (w *world) Record(r corianderwing.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, r)
}

// Propose keeps claims as a control group does.
func (w *world) Propose(_ context.Context, _ corianderwing.GroupID, c corianderwing.Command) (corianderwing.Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failing > 0 && (w.kind == "" || w.kind == c.Kind) {
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
func (w *world) Renew(context.Context, corianderwing.RenewRequest) (corianderwing.RenewResponse, error) {
	return corianderwing.RenewResponse{}, nil
}
func (w *world) Watch(context.Context, corianderwing.GroupID, corianderwing.Revision, func(corianderwing.Update) error) error {
	return nil
}

// fleet is the membership as one instance sees it.
type fleet struct {
	*world
	self corianderwing.Instance
}

func (f *fleet) Self() corianderwing.Instance { return f.self }
func (f *fleet) Instances() []corianderwing.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]corianderwing.Instance(nil), f.insts...)
}
func (f *fleet) Upstreams(_ corianderwing.PoolID, d corianderwing.DomainID) []corianderwing.Upstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]corianderwing.Upstream(nil), f.ups[d]...)
}
func (f *fleet) Domains(corianderwing.PoolID) []corianderwing.DomainID {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := []corianderwing.DomainID{f.self.Domain}
	for _, i := range f.insts {
		if _, ok := f.ups[i.Domain]; ok && i.Domain != f.self.Domain && i.ID == f.owners[i.Domain].ID {
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
	f.ups[u.Domain] = append(f.ups[u.Domain], u)
	return nil
}
func (f *fleet) Report([]corianderwing.PoolLoad) {}
