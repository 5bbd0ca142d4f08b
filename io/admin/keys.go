package admin

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base32"
	"encoding/hex"

	"corianderwing"
)

// KeyInfo describes a key without its hash.
type KeyInfo struct {
	ID        corianderwing.KeyID       `json:"id"`
	Workspace corianderwing.WorkspaceID `json:"workspace"`
	Label     string                    `json:"label,omitempty"`
	Revoked   bool                      `json:"revoked,omitempty"`
}

func newKeyInfo(k corianderwing.Key) KeyInfo {
	return KeyInfo{ID: k.ID, Workspace: k.Workspace, Label: k.Label, Revoked: k.Revoked}
}

// KeyQuery requests the keys of a workspace.
type KeyQuery struct {
	Workspace corianderwing.WorkspaceID
}

func (q *KeyQuery) read(in *input) {
	q.Workspace = corianderwing.WorkspaceID(in.id("workspace"))
}

// KeyList lists the keys of a workspace, including revoked ones.
type KeyList struct {
	Group    corianderwing.GroupID  `json:"group"`
	Revision corianderwing.Revision `json:"revision"`
	Keys     []KeyInfo              `json:"keys"`
}

func (a *API) listKeys(_ context.Context, q *KeyQuery) (KeyList, error) {
	g, ok := a.groups.Home(q.Workspace)
	if !ok {
		return KeyList{}, corianderwing.Errorf(corianderwing.NotFound, "workspace %s does not exist", q.Workspace)
	}
	v, err := a.groups.View(g)
	if err != nil {
		return KeyList{}, err
	}
	list := KeyList{Group: g, Revision: v.Revision(), Keys: []KeyInfo{}}
	for _, k := range v.Keys(q.Workspace) {
		list.Keys = append(list.Keys, newKeyInfo(k))
	}
	return list, nil
}

// AddKey creates a key for a workspace.
type AddKey struct {
	Change
	Workspace corianderwing.WorkspaceID `json:"-"`
	ID        corianderwing.KeyID       `json:"id,omitempty"` // default: derived from the request id
	Label     string                    `json:"label,omitempty"`
}

func (k *AddKey) read(in *input) {
	in.body(k)
	k.Workspace = corianderwing.WorkspaceID(in.id("workspace"))
	k.check(in)
	if k.ID != "" && !corianderwing.ValidID(string(k.ID)) {
		in.invalid("id", string(k.ID), "an id")
	}
}

// NewKey is the response to AddKey. Secret is the credential that callers send;
// it is never stored.
type NewKey struct {
	Accepted
	Key    KeyInfo `json:"key"`
	Secret string  `json:"secret"`
}

func (a *API) addKey(ctx context.Context, k *AddKey) (NewKey, error) {
	g, err := a.resolveGroup(k.Group, k.Workspace)
	if err != nil {
		return NewKey{}, err
	}
	secret := keySecret(a.secret, k.Request)
	key := corianderwing.Key{
		ID:        k.ID,
		Workspace: k.Workspace,
		Hash:      corianderwing.HashKey(a.secret, secret),
		Label:     k.Label,
	}
	if key.ID == "" {
		key.ID = keyID(a.secret, k.Request)
	}
	c := k.command(corianderwing.AddKey)
	c.Key = &key
	accepted, err := a.propose(ctx, g, c)
	if err != nil {
		return NewKey{}, err
	}
	return NewKey{Accepted: accepted, Key: newKeyInfo(key), Secret: secret}, nil
}

// keySecret derives the secret of a key from the id of the request that adds it.
// The same id yields the same secret, so a lost response can be repeated although
// the secret is not stored.
func keySecret(fleetSecret []byte, r corianderwing.RequestID) string {
	return base32.StdEncoding.WithPadding(base32.NoPadding).EncodeToString(derive(fleetSecret, "key", r))
}

// keyID derives the public id of a key, which reveals nothing about the secret.
func keyID(fleetSecret []byte, r corianderwing.RequestID) corianderwing.KeyID {
	return corianderwing.KeyID("k-" + hex.EncodeToString(derive(fleetSecret, "id", r))[:16])
}

func derive(fleetSecret []byte, purpose string, r corianderwing.RequestID) []byte {
	mac := hmac.New(sha256.New, fleetSecret)
	mac.Write([]byte(purpose + string(r)))
	return mac.Sum(nil)
}

// RevokeKey revokes a key.
type RevokeKey struct {
	Change
	Workspace corianderwing.WorkspaceID `json:"-"`
	ID        corianderwing.KeyID       `json:"-"`
}

func (k *RevokeKey) read(in *input) {
	k.fromQuery(in)
	k.Workspace = corianderwing.WorkspaceID(in.id("workspace"))
	k.ID = corianderwing.KeyID(in.id("id"))
}

func (a *API) revokeKey(ctx context.Context, k *RevokeKey) (Accepted, error) {
	g, err := a.resolveGroup(k.Group, k.Workspace)
	if err != nil {
		return Accepted{}, err
	}
	c := k.command(corianderwing.RevokeKey)
	c.Key = &corianderwing.Key{ID: k.ID, Workspace: k.Workspace}
	return a.propose(ctx, g, c)
}
