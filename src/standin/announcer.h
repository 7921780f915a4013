// Announces a stand-in to VMs. One thread sends a POST request to each address
// at every heartbeat through libcurl. An address that doesn't answer doesn't
// delay the announcements to the others.
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
  std::vector<Address> addresses;  // operators' ports of the VMs
  Duration heartbeat = milliseconds(250);
};

class Announcer {
 public:
  // Returns the announcement without cache events, or nullopt while the
  // endpoint is down.
  using Describe = std::function<std::optional<Announcement>()>;
  // Returns the cache events that are due since the last call. Each element
  // is a batch with consecutive event numbers.
  using TakeEvents = std::function<std::vector<CacheEvents>()>;

  // Fails if the thread can't be started.
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
