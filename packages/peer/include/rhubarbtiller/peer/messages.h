#pragma once

// The structures that Thrift generates from peer.thrift; a heavy header, for source files only.
#include <peer_types.h> // IWYU pragma: export
