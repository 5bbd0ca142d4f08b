package store

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"corianderwing"
)

// replaceFile writes a value to a file of one frame, so that a crash leaves either
// the old or the new one.
func (s *Store) replaceFile(name string, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	f, err := s.fs.Create(name + tempSuffix)
	if err != nil {
		return err
	}
	if _, err := f.Write(encodeFrame(0, data)); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := s.fs.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

// readFile fills value from a file written by replaceFile. It reports whether
// the file exists.
func (s *Store) readFile(name string, value any) (bool, error) {
	b, err := s.fs.ReadFile(name)
	if isNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	_, data, rest, ok := parseFrame(b)
	if !ok || len(rest) > 0 {
		return false, &CorruptionError{File: name, Detail: "the checksum does not match"}
	}
	if err := cbor.Unmarshal(data, value); err != nil {
		return false, &CorruptionError{File: name, Offset: frameHeaderSize, Detail: err.Error()}
	}
	return true, nil
}

type identity struct {
	ID corianderwing.InstanceID `json:"id"`
}

// Identity returns the id under which this directory takes part in its group.
// There is none in a new directory, nor after its disk was replaced or wiped.
func (s *Store) Identity() (corianderwing.InstanceID, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v identity
	ok, err := s.readFile(identityName, &v)
	return v.ID, ok, eris.Wrap(err, "reading the identity")
}

// EnsureIdentity returns the id of the directory. A directory without one gets
// name, or a NewIdentity if the group was formed before.
//
// A replica that lost its disk may have voted or acknowledged entries that it
// no longer has, so it must not rejoin under its old id; it joins as a
// learner instead. The caller may pass false for formed only if the configured
// voters include name and every other one has answered that its term is zero:
// a replica takes a term before it asks for a vote or sends an entry, so then
// this one cannot have promised anything.
func (s *Store) EnsureIdentity(name corianderwing.InstanceID, formed bool) (corianderwing.InstanceID, error) {
	id, ok, err := s.Identity()
	if ok || err != nil {
		return id, err
	}
	id = name
	if formed {
		id = NewIdentity(name)
	}
	return id, s.SetIdentity(id)
}

// SetIdentity stores the id. It fails if the directory has another one.
func (s *Store) SetIdentity(id corianderwing.InstanceID) error {
	old, ok, err := s.Identity()
	if err != nil {
		return err
	}
	if ok && old != id {
		return eris.Errorf("the directory belongs to %q, not to %q", old, id)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.firstSegment(); err != nil {
		return eris.Wrap(err, "starting the log")
	}
	return eris.Wrap(s.replaceFile(identityName, identity{id}), "saving the identity")
}

// InitialMembership returns the membership with which the group was formed.
func (s *Store) InitialMembership() (corianderwing.Membership, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v corianderwing.Membership
	_, err := s.readFile(foundersName, &v)
	return v, eris.Wrap(err, "reading the initial membership")
}

// SetInitialMembership stores the membership with which the group is formed. It
// must be called before SetIdentity, so that a directory with an identity always
// has an initial membership.
func (s *Store) SetInitialMembership(v corianderwing.Membership) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return eris.Wrap(s.replaceFile(foundersName, v), "saving the initial membership")
}

// firstSegment starts the log of an empty directory. The identity is written
// after it, so that Load can distinguish a lost log from a new directory.
func (s *Store) firstSegment() error {
	names, err := s.segments()
	if err != nil || len(names) > 0 || s.seg != nil {
		return err
	}
	if err := s.startSegment(segmentHeader{}); err != nil {
		return err
	}
	err = s.seg.Close()
	s.seg = nil
	return err
}

// NewIdentity returns a fresh id for a replica with the given name.
func NewIdentity(name corianderwing.InstanceID) corianderwing.InstanceID {
	var b [4]byte
	rand.Read(b[:])
	suffix := "." + hex.EncodeToString(b[:])
	if maxLen := corianderwing.MaxIDLen - len(suffix); len(name) > maxLen {
		name = name[:maxLen]
	}
	return name + corianderwing.InstanceID(suffix)
}

// Wipe removes everything from the directory, the identity first, so that an
// interrupted Wipe cannot leave an old identity without its data. It recovers
// from a CorruptionError; the next Load starts with an empty log.
func (s *Store) Wipe() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seg != nil {
		s.seg.Close()
		s.seg = nil
	}
	names, err := s.fs.List()
	if err != nil {
		return eris.Wrap(err, "listing the data directory")
	}
	if err := s.removeAll(identityName, names); err != nil {
		return eris.Wrap(err, "wiping the data directory")
	}
	s.failed = nil
	s.segNo, s.seq, s.log = 0, 0, memLog{}
	return nil
}

func (s *Store) removeAll(first string, names []string) error {
	for _, name := range names {
		if name != first {
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			return err
		}
		if err := s.fs.SyncDir(); err != nil {
			return err
		}
	}
	for _, name := range names {
		if name == first || name == lockName {
			continue
		}
		if err := s.fs.Remove(name); err != nil {
			return err
		}
	}
	return s.fs.SyncDir()
}
