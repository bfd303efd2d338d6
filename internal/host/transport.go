package host

import (
	"time"

	"github.com/foxtailshelf/foxtailshelf/internal/inventory"
	"github.com/foxtailshelf/foxtailshelf/internal/keyvalue"
	"github.com/foxtailshelf/foxtailshelf/internal/routing"
	"github.com/foxtailshelf/foxtailshelf/internal/upstream"
)

var _ UpstreamTransport = (*upstream.ConnectionPool)(nil)

// An UpstreamTransport sends attempts to upstreams over connections that it keeps.
type UpstreamTransport interface {
	upstream.Exchanger
	// NotifySlowDials has a function called while a connection takes long to open. It is called
	// before the first attempt.
	NotifySlowDials(onSlowDial func(upstreamID string, startedAt time.Time))
	// AbortDials gives up all connections that are being opened. Their attempts are not sent.
	AbortDials()
	// Held returns how many connections are being opened, and how many bytes of long bodies are
	// being read.
	Held() (dials int, bodyBytes int64)
	// CloseExpired closes the idle connections that have expired.
	CloseExpired(now time.Time)
}

// A DecodedRecord is the decoded value of one key of the store: a configuration, an upstream, the
// registration of a host, or the evacuation of a data centre. It is the zero value for other keys.
type DecodedRecord struct {
	Table    *routing.Table
	Upstream *inventory.UpstreamSpec
	// PeerAddress is the address of a registered host, PeerRegistration its encoded
	// wire.Member.
	PeerAddress      string
	PeerRegistration string
	// EvacuatedDataCenter is the data centre that the key evacuates.
	EvacuatedDataCenter string
	// Ignored describes the parts of the value that are invalid and do not count; empty if
	// there are none.
	Ignored string
}

// A RecordDecoder decodes the keys and values of the store.
type RecordDecoder interface {
	// DecodeRecord decodes a record. It returns the zero value for a key that hosts do
	// not use, and an error if the value of another key cannot be read.
	DecodeRecord(record keyvalue.Change) (DecodedRecord, error)
	// RegistrationKey returns the key under which a host registers itself.
	RegistrationKey(address string) string
}
