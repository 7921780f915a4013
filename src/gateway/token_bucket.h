// A bucket that fills at a rate up to a size.
#ifndef GATEWAY_TOKEN_BUCKET_H_
#define GATEWAY_TOKEN_BUCKET_H_

#include "base/time.h"

namespace baobabrun {

class TokenBucket {
 public:
  // Starts with `level`.
  TokenBucket(double rate, double size, double level, Instant now)
      : rate_(rate), size_(size), level_(level), at_(now) {}

  // A smaller size or rate holds from now on; what is in the bucket is cut to
  // the new size.
  void Resize(double rate, double size, Instant now);
  // Takes `cost` if it is there.
  bool Take(double cost, Instant now);
  // Takes `cost` if `kept_part` of a full bucket stays.
  bool TakeAbove(double cost, double kept_part, Instant now);
  // Takes `cost` if it is there, or if the bucket is full; what it lacks is
  // owed. Lets costs above the size through now and then.
  bool TakeOrOwe(double cost, Instant now);
  // When TakeOrOwe would succeed, if nobody takes anything before.
  Duration Wait(double cost, Instant now) const;
  void GiveBack(double cost, Instant now);

 private:
  double LevelAt(Instant now) const;

  double rate_;  // a second
  double size_;
  double level_;  // at `at_`; at most size_
  Instant at_;
};

}  // namespace baobabrun

#endif  // GATEWAY_TOKEN_BUCKET_H_
