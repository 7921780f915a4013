// Names of peer topics.
#include "membership/peer_message.h"

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<PeerTopic> kTopics[] = {
    {PeerTopic::kMembership, "membership"},
    {PeerTopic::kState, "state"},
    {PeerTopic::kControl, "control"},
    {PeerTopic::kLimits, "limits"},
    {PeerTopic::kPlacement, "placement"},
    {PeerTopic::kOperators, "operators"},
    {PeerTopic::kOnce, "once"},
    {PeerTopic::kEndpoints, "endpoints"},
    {PeerTopic::kDiscovery, "discovery"},
    {PeerTopic::kRegistry, "registry"},
};

}  // namespace

std::string_view NameOf(PeerTopic topic) {
  return NameOf<PeerTopic>(kTopics, topic);
}

}  // namespace baobabrun
