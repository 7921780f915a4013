// Limits how many retries this VM may make for each service.
//
// Over the fleet, any window may contain `ratio` x requests + `slack` retries.
// Each VM applies the ratio to its own requests and uses its share of the
// slack, so the sum over all VMs keeps the bound without any message, even
// while some VMs can't reach others.
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
  std::int64_t slack = 0;  // retries, over all VMs
};

class RetryAllowance {
 public:
  explicit RetryAllowance(RetryAllowanceOptions options) : options_(options) {}

  // Sets how many VMs share the slack. The number never decreases, since a VM
  // that can't be seen may still use its share.
  void SetSharers(std::size_t sharers);
  void CountRequest(const std::string& service, Instant now);
  // Returns false and consumes nothing if one more retry would exceed the
  // bound.
  bool TrySpend(const std::string& service, Instant now);

 private:
  struct Service {
    std::deque<Instant> requests;  // within the last window
    std::deque<Instant> repeats;
  };
  void Expire(Service& service, Instant now) const;

  const RetryAllowanceOptions options_;
  std::size_t sharers_ = 1;
  std::map<std::string, Service> services_;
};

}  // namespace baobabrun

#endif  // GATEWAY_RETRY_ALLOWANCE_H_
