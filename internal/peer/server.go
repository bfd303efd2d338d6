package peer

import (
	"context"
	"fmt"
	"net"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// server passes drpc calls to a GateHandler.
type server struct{ handler GateHandler }

var _ wire.DRPCGateServer = (*server)(nil)

// ServeGate serves the calls of peers on a listener until the context ends.
func ServeGate(ctx context.Context, listener net.Listener, handler GateHandler) error {
	mux := drpcmux.New()
	if err := wire.DRPCRegisterGate(mux, &server{handler: handler}); err != nil {
		return fmt.Errorf("register gate calls: %w", err)
	}
	if err := drpcserver.New(mux).Serve(ctx, &boundedListener{Listener: listener, writeTimeout: writeTimeout}); err != nil {
		return fmt.Errorf("serve gate calls: %w", err)
	}
	return nil
}

// Documents implements wire.DRPCGateServer.
func (s *server) Documents(ctx context.Context, r *wire.DocumentsRequest) (*wire.DocumentsReply, error) {
	return s.handler.Documents(ctx, r)
}

// Exchange implements wire.DRPCGateServer.
func (s *server) Exchange(ctx context.Context, r *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return s.handler.Exchange(ctx, r)
}

// Scatter implements wire.DRPCGateServer.
func (s *server) Scatter(r *wire.ScatterRequest, stream wire.DRPCGate_ScatterStream) error {
	return s.handler.Scatter(stream.Context(), r, stream.Send)
}

// Survey implements wire.DRPCGateServer.
func (s *server) Survey(ctx context.Context, r *wire.SurveyRequest) (*wire.SurveyReply, error) {
	return s.handler.Survey(ctx, r)
}
