// Delays of messages from other VMs.
#include "membership/peer_delay.h"

#include <algorithm>

#include "base/log.h"

namespace baobabrun {
namespace {

constexpr Duration kPeriod = seconds(60);
// A sender whose clock goes back by more than this was rebooted, so earlier
// differences between the clocks no longer hold.
constexpr Duration kRebootStep = seconds(1);
constexpr Duration kLate = milliseconds(500);
constexpr Duration kLineInterval = seconds(1);

}  // namespace

Duration PeerDelayMeter::Record(const VmId& from,
                                Instant sent,
                                Instant received) {
  const auto difference = received - sent;
  const auto [it, added] = senders_.try_emplace(from);
  auto& sender = it->second;
  if (added || sent < sender.last_sent - kRebootStep) {
    sender = {difference, std::nullopt, received, sent};
    return Duration::zero();
  }
  sender.last_sent = std::max(sender.last_sent, sent);
  if (received >= sender.period_start + kPeriod) {
    sender.quickest_before = sender.quickest;
    sender.quickest = difference;
    sender.period_start = received;
  }
  sender.quickest = std::min(sender.quickest, difference);
  return difference - std::min(sender.quickest, sender.quickest_before.value_or(
                                                    sender.quickest));
}

void PeerDelayLog::Record(const PeerMessage& message, Instant handled) {
  if (message.received == Instant()) {
    return;  // not from the transport
  }
  const auto queued = handled - message.received;
  if (message.delay + queued >= kLate) {
    ++late_;
    if (message.delay + queued > worst_delay_ + worst_queued_) {
      worst_from_ = message.from;
      worst_topic_ = message.topic;
      worst_delay_ = message.delay;
      worst_queued_ = queued;
    }
  }
  if (late_ > 0 && handled >= next_line_) {
    next_line_ = handled + kLineInterval;
    Write();
    late_ = 0;
    worst_delay_ = worst_queued_ = Duration::zero();
  }
}

void PeerDelayLog::Write() const {
  Log(Event::kPeerMessagesLate,
      {{"thread", thread_},
       {"from", worst_from_.value()},
       {"topic", NameOf(worst_topic_)},
       {"delay_ms", InMs(worst_delay_)},
       {"queued_ms", InMs(worst_queued_)},
       {"late", late_}},
      "{} messages from other VMs were handled late; the worst, from vm {}, "
      "took {} ms longer than the quickest one and waited {} ms for the {} "
      "thread",
      late_, worst_from_.value(), InMs(worst_delay_), InMs(worst_queued_),
      thread_);
}

}  // namespace baobabrun
