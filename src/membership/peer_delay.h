// Measures and logs how late messages from other VMs are handled.
#ifndef MEMBERSHIP_PEER_DELAY_H_
#define MEMBERSHIP_PEER_DELAY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "membership/peer_message.h"

namespace baobabrun {

// Measures the delay of messages between two VMs whose clocks aren't
// synchronized: how much longer a message took than the quickest one of the
// same sender within the last minute or two.
class PeerDelayMeter {
 public:
  // `sent` is by the sender's clock, `received` by this VM's.
  Duration Record(const VmId& from, Instant sent, Instant received);

 private:
  struct Sender {
    // The smallest differences between the two clocks' times in the present
    // and in the previous period.
    Duration quickest{};
    std::optional<Duration> quickest_before;
    Instant period_start;
    Instant last_sent;
  };
  std::map<VmId, Sender> senders_;
};

// Logs the message that was handled latest, at most once a second. Used on one
// thread.
class PeerDelayLog {
 public:
  // `thread` is the name of the thread that handles the messages.
  explicit PeerDelayLog(std::string thread) : thread_(std::move(thread)) {}

  void Record(const PeerMessage& message, Instant handled);

 private:
  void Write() const;

  const std::string thread_;
  // The latest message since the last line, and the number of late ones.
  VmId worst_from_;
  PeerTopic worst_topic_ = PeerTopic::kMembership;
  Duration worst_delay_{};
  Duration worst_queued_{};
  std::int64_t late_ = 0;
  Instant next_line_;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_PEER_DELAY_H_
