// How many sendings beyond the first this VM may make to each service.
//
// Over the fleet, any window may hold `ratio` x requests + `slack` repeated
// sendings. Each VM keeps to the ratio of its own requests and to its part of
// the slack, so the parts add up to the bound without any message, whatever is
// cut off.
#ifndef GATEWAY_RETRY_ALLOWANCE_H_
#define GATEWAY_RETRY_ALLOWANCE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/time.h"

namespace baobabrun {

struct RetryAllowanceOptions {
  double ratio = 0.1;
  Duration window = seconds(10);
  std::int64_t slack = 0;  // over all VMs
};

class RetryAllowance {
 public:
  explicit RetryAllowance(RetryAllowanceOptions options) : options_(options) {}

  // VMs that share the slack. It never falls: a VM that is out of sight may
  // still spend its part.
  void SetSharers(std::size_t sharers);
  void CountRequest(const std::string& service, Instant now);
  // Returns false, taking nothing, if one more would pass the bound.
  bool TrySpend(const std::string& service, Instant now);

 private:
  struct Service {
    std::deque<Instant> requests;  // of the last window
    std::deque<Instant> repeats;
  };
  void Expire(Service& service, Instant now) const;

  const RetryAllowanceOptions options_;
  std::size_t sharers_ = 1;
  std::map<std::string, Service> services_;
};

}  // namespace baobabrun

#endif  // GATEWAY_RETRY_ALLOWANCE_H_
