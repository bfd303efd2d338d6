package wire

import (
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"
)

// earlierPath is the encoded description of the messages of the build that hosts are upgraded
// from.
const earlierPath = "testdata/earlier.golden"

var update = flag.Bool("update", false, "write the golden file from the current messages, after a release")

// populateDepth bounds how deep messages are nested.
const populateDepth = 4

// TestEarlierBuildUnderstandsMessages guards against hosts of two builds that misread each other's messages
// during an upgrade: a field whose number, type or meaning has changed.
func TestEarlierBuildUnderstandsMessages(t *testing.T) {
	if *update {
		data, err := proto.Marshal(&descriptorpb.FileDescriptorSet{File: []*descriptorpb.FileDescriptorProto{protodesc.ToFileDescriptorProto(File_wire_proto)}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, os.WriteFile(earlierPath, data, 0o600), qt.IsNil)
	}
	messages := readEarlier(t).Messages()
	for i := range messages.Len() {
		earlier := messages.Get(i)
		t.Run(string(earlier.Name()), func(t *testing.T) {
			c := qt.New(t)
			current := File_wire_proto.Messages().ByName(earlier.Name())
			c.Assert(current, qt.Not(qt.IsNil))

			sent := dynamicpb.NewMessage(earlier)
			populate(sent, populateDepth)
			received := transmit(c, sent, dynamicpb.NewMessage(current))
			c.Check(len(received.ProtoReflect().GetUnknown()), qt.Equals, 0)
			c.Check(proto.Equal(sent, transmit(c, received, dynamicpb.NewMessage(earlier))), qt.IsTrue)
			checkNames(c, earlier, current)

			newer := dynamicpb.NewMessage(current)
			populate(newer, populateDepth)
			understood := transmit(c, newer, dynamicpb.NewMessage(earlier))
			discardUnknown(understood.ProtoReflect())
			c.Check(proto.Equal(sent, understood), qt.IsTrue)
		})
	}
}

// TestEarlierCallsRemain guards against an upgrade that removes a call which hosts of the
// earlier build make.
func TestEarlierCallsRemain(t *testing.T) {
	c := qt.New(t)
	services := readEarlier(t).Services()
	for i := range services.Len() {
		s := services.Get(i)
		current := File_wire_proto.Services().ByName(s.Name())
		c.Assert(current, qt.Not(qt.IsNil))
		for j := range s.Methods().Len() {
			m := s.Methods().Get(j)
			now := current.Methods().ByName(m.Name())
			c.Assert(now, qt.Not(qt.IsNil), qt.Commentf("%s", m.FullName()))
			c.Check(now.Input().FullName(), qt.Equals, m.Input().FullName())
			c.Check(now.Output().FullName(), qt.Equals, m.Output().FullName())
		}
	}
}

func readEarlier(t *testing.T) protoreflect.FileDescriptor {
	t.Helper()
	data, err := os.ReadFile(earlierPath)
	qt.Assert(t, err, qt.IsNil)
	var set descriptorpb.FileDescriptorSet
	qt.Assert(t, proto.Unmarshal(data, &set), qt.IsNil)
	file, err := protodesc.NewFile(set.GetFile()[0], nil)
	qt.Assert(t, err, qt.IsNil)
	return file
}

// transmit encodes a message and decodes it into another type.
func transmit(c *qt.C, sent, received proto.Message) proto.Message {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(sent)
	c.Assert(err, qt.IsNil)
	c.Assert(proto.Unmarshal(data, received), qt.IsNil)
	return received
}

// checkNames checks that fields keep their names, so that a number is not given to a field
// with another meaning.
func checkNames(c *qt.C, earlier, current protoreflect.MessageDescriptor) {
	for i := range earlier.Fields().Len() {
		f := earlier.Fields().Get(i)
		c.Check(current.Fields().ByNumber(f.Number()).Name(), qt.Equals, f.Name())
	}
}

// populate sets all fields of a message to values that depend on their numbers.
func populate(m *dynamicpb.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.Kind() == protoreflect.MessageKind && depth == 0 {
			continue
		}
		if f.IsList() {
			list := m.Mutable(f).List()
			list.Append(valueFor(f, depth))
			continue
		}
		m.Set(f, valueFor(f, depth))
	}
}

func valueFor(f protoreflect.FieldDescriptor, depth int) protoreflect.Value {
	n := int64(f.Number())
	switch f.Kind() {
	case protoreflect.MessageKind:
		m := dynamicpb.NewMessage(f.Message())
		populate(m, depth-1)
		return protoreflect.ValueOfMessage(m)
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(string(f.Name()))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(f.Name()))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n) + 0.5)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(n) << 40)
	default:
		return protoreflect.ValueOfInt64(-n)
	}
}

// discardUnknown removes the fields that a message type does not have, at all depths.
func discardUnknown(m protoreflect.Message) {
	m.SetUnknown(nil)
	m.Range(func(f protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case f.Kind() != protoreflect.MessageKind:
		case f.IsList():
			for i := range v.List().Len() {
				discardUnknown(v.List().Get(i).Message())
			}
		default:
			discardUnknown(v.Message())
		}
		return true
	})
}
