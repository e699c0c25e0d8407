// Version of the protocol between daemons.

#include "protocol/protocol_type.h"

static_assert(auburnhaven::protocol::kProtocolVersion > 0);
