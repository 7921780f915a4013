// Another entry of the fleet, as the decisions of an entry see it.
#ifndef GATEWAY_ENTRY_PEER_H_
#define GATEWAY_ENTRY_PEER_H_

#include "base/ids.h"

namespace baobabrun {

struct EntryPeer {
  VmId vm;
  ZoneId zone;
};

}  // namespace baobabrun

#endif  // GATEWAY_ENTRY_PEER_H_
