package peer

import (
	"github.com/foxtailshelf/foxtailshelf/internal/chart"
	"github.com/foxtailshelf/foxtailshelf/internal/roster"
	"github.com/foxtailshelf/foxtailshelf/internal/snapshot"
	"github.com/foxtailshelf/foxtailshelf/internal/timeline"
	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// DecodeMember converts a member from its wire message.
func DecodeMember(m *wire.Member) roster.Member {
	return roster.NewMember(m.GetHost(), m.GetDataCenter(), m.GetGateAddress(), m.GetEntryAddress(), m.GetIncarnation(), chart.State(m.GetState())).
		WithCapacity(int(m.GetCapacity())).WithPartitioned(m.GetPartitioned())
}

// DecodeMembers converts members from their wire messages.
func DecodeMembers(members []*wire.Member) []roster.Member {
	decoded := make([]roster.Member, 0, len(members))
	for _, m := range members {
		decoded = append(decoded, DecodeMember(m))
	}
	return decoded
}

// DecodeStamp converts a stamp from its wire message.
func DecodeStamp(s *wire.Stamp) timeline.Stamp {
	return timeline.Stamp{Micros: s.GetMicros(), Count: s.GetCount()}
}

// DecodeVersion converts a version from its wire message.
func DecodeVersion(v *wire.Version) snapshot.Version {
	return snapshot.New(v.GetNumber(), v.GetMap())
}

// EncodeMember converts a member to its wire message.
func EncodeMember(m roster.Member) *wire.Member {
	return &wire.Member{
		Host: m.Host(), DataCenter: m.DataCenter(), GateAddress: m.GateAddress(), EntryAddress: m.EntryAddress(),
		Incarnation: m.Incarnation(), State: string(m.State()), Capacity: uint32(m.Capacity()),
		Partitioned: m.IsPartitioned(),
	}
}

// EncodeMembers converts members to their wire messages.
func EncodeMembers(members []roster.Member) []*wire.Member {
	encoded := make([]*wire.Member, 0, len(members))
	for _, m := range members {
		encoded = append(encoded, EncodeMember(m))
	}
	return encoded
}

// EncodeStamp converts a stamp to its wire message.
func EncodeStamp(s timeline.Stamp) *wire.Stamp {
	return &wire.Stamp{Micros: s.Micros, Count: s.Count}
}

// EncodeVersion converts a version to its wire message.
func EncodeVersion(v snapshot.Version) *wire.Version {
	return &wire.Version{Number: v.Number(), Map: v.ShardMap()}
}
