package host

import (
	"context"

	"github.com/foxtailshelf/foxtailshelf/internal/wire"
)

// IssueTokens implements peer.HostHandler.
func (h *Host) IssueTokens(_ context.Context, _ *wire.IssueTokensRequest) (*wire.IssueTokensReply, error) {
	return &wire.IssueTokensReply{NotIssuer: true}, nil
}
