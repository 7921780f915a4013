// Announces a stand-in to VMs: a POST to each address at every heartbeat, on
// one thread, through libcurl. An address that doesn't answer delays no other.
#ifndef STANDIN_ANNOUNCER_H_
#define STANDIN_ANNOUNCER_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "base/error.h"
#include "base/thread.h"
#include "base/time.h"
#include "endpoints/announcement.h"
#include "settings/process_settings.h"

namespace baobabrun::standin {

struct AnnouncerOptions {
  std::vector<Address> addresses;
  Duration heartbeat = milliseconds(250);
};

class Announcer {
 public:
  // The announcement without events; nothing while the endpoint is down.
  using Describe = std::function<std::optional<Announcement>()>;
  // New cache events, each element a run without a gap.
  using TakeEvents = std::function<std::vector<CacheEvents>()>;

  // Errors: of the thread's start.
  static Result<std::unique_ptr<Announcer>> Start(AnnouncerOptions options,
                                                  Describe describe,
                                                  TakeEvents take_events);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

 private:
  class Loop;
  explicit Announcer(std::unique_ptr<Loop> loop);

  std::unique_ptr<Loop> loop_;
  std::unique_ptr<DutyThread> thread_;
};

}  // namespace baobabrun::standin

#endif  // STANDIN_ANNOUNCER_H_
