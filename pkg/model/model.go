// Package model holds the value types that all components share. It has no
// behaviour beyond small lookups and imports no other package of the project.
package model

import (
	"fmt"
	"time"
)

// Time is a monotonic time of one process, in nanoseconds since its start. Times
// of different processes cannot be compared.
type Time int64

// Never is a time that is never reached.
const Never = Time(1<<63 - 1)

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Names of what a bundle or the platform lists.
type (
	VM            string
	FailureDomain string
	ServiceName   string
	ServerName    string
	ShardName     string
	LayoutName    string
	CallerName    string
)

// Incarnation distinguishes one run of a daemon on a VM from every other run.
type Incarnation uint64

// MemberRef identifies one incarnation of the daemon on a VM.
type MemberRef struct {
	VM          VM
	Incarnation Incarnation
}

// String returns the VM and the incarnation in hexadecimal.
func (r MemberRef) String() string { return fmt.Sprintf("%s.%x", r.VM, uint64(r.Incarnation)) }

// Header is part of every message between daemons.
type Header struct {
	From            MemberRef
	BundleVersion   uint64
	ControlsVersion uint64
	Epoch           uint64
}

// Snapshot identifies one index version of one partition layout.
type Snapshot struct {
	Layout       LayoutName
	IndexVersion uint64
}

// Class is the priority class of a request.
type Class uint8

// Classes, the highest priority first.
const (
	Urgent Class = iota
	Normal
	Bulk
	NumClasses
)

// String returns the name used in the caller API.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Normal:
		return "normal"
	case Bulk:
		return "bulk"
	}
	return fmt.Sprintf("class(%d)", uint8(c))
}

// ParseClass returns the class with the given name in the caller API. The empty
// name means Normal.
func ParseClass(name string) (Class, error) {
	switch name {
	case "urgent":
		return Urgent, nil
	case "", "normal":
		return Normal, nil
	case "bulk":
		return Bulk, nil
	}
	return Normal, fmt.Errorf("model: unknown class %q: want urgent, normal or bulk", name)
}
