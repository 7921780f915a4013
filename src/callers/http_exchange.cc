// The state of one HTTP exchange, shared by its connection's thread and the
// thread that writes the answer.
#include "callers/http_exchange.h"

#include <algorithm>
#include <utility>

namespace baobabrun {
namespace {

constexpr std::size_t kSmallBodyBytes = 64 * 1024;

}  // namespace

std::string_view HttpRequest::HeaderValue(std::string_view name) const {
  const auto it =
      std::find_if(headers.begin(), headers.end(),
                   [name](const auto& header) { return header.name == name; });
  return it == headers.end() ? std::string_view() : it->value;
}

std::size_t HttpRequest::CountHeaders(std::string_view name) const {
  return std::count_if(
      headers.begin(), headers.end(),
      [name](const auto& header) { return header.name == name; });
}

HttpExchange::HttpExchange(MemoryBudgetPtr budget)
    : budget_(std::move(budget)),
      request_lease_(budget_, MemoryPart::kRequests),
      answer_lease_(budget_, MemoryPart::kAnswers) {}

// Large bodies leave a quarter of the memory to small ones.
bool HttpExchange::HasMemoryFor(std::size_t body_bytes) const {
  if (budget_ == nullptr) {
    return true;
  }
  const auto bound = budget_->BoundOf(MemoryPart::kRequests);
  const auto held = budget_->Held(MemoryPart::kRequests);
  const auto usable = body_bytes > kSmallBodyBytes ? bound / 4 * 3 : bound;
  return held <= usable && body_bytes <= usable - held;
}

bool HttpExchange::IsShortOfMemory() const {
  return !HasMemoryFor(kSmallBodyBytes + 1);
}

bool HttpExchange::AppendToBody(std::string_view bytes) {
  auto& body = request_.body;
  const auto needed = body.size() + bytes.size();
  if (needed > body.capacity()) {
    const auto capacity = std::max(needed, body.size() + body.size() / 2);
    const auto more = capacity - request_lease_.bytes();
    const bool large = needed > kSmallBodyBytes;
    if ((large && IsShortOfMemory()) || !request_lease_.Grow(more)) {
      return false;
    }
    body.reserve(capacity);
  }
  body.append(bytes);
  return true;
}

void HttpExchange::DropBody() {
  FreeBody();
  request_lease_.Clear();
}

void HttpExchange::FreeBody() {
  request_.body = std::string();
}

void HttpExchange::SetHooks(std::function<void()> on_gone,
                            std::function<void()> on_drained) {
  {
    std::lock_guard lock(mutex_);
    if (!gone_) {
      on_gone_ = std::move(on_gone);
      on_drained_ = std::move(on_drained);
      return;
    }
  }
  on_gone();
}

void HttpExchange::Respond(int status,
                           std::vector<Header> headers,
                           std::string body) {
  std::lock_guard lock(mutex_);
  if (begun_) {
    return;
  }
  begun_ = true;
  ended_ = true;
  status_ = status;
  headers_ = std::move(headers);
  buffer_ = std::move(body);
  // The answer is complete and can't wait, so it is counted as far as there is
  // room.
  (void)answer_lease_.Grow(buffer_.size());
  WakeLocked();
}

void HttpExchange::Begin(int status, std::vector<Header> headers) {
  std::lock_guard lock(mutex_);
  if (begun_) {
    return;
  }
  begun_ = true;
  streaming_ = true;
  status_ = status;
  headers_ = std::move(headers);
  WakeLocked();
}

bool HttpExchange::Write(std::string_view bytes) {
  std::lock_guard lock(mutex_);
  if (ended_ || gone_) {
    return true;
  }
  buffer_.append(bytes);
  const bool has_memory = answer_lease_.Grow(bytes.size());
  WakeLocked();
  over_high_water_ = !has_memory || UnsentLocked() > kHighWaterBytes;
  return !over_high_water_;
}

void HttpExchange::End(bool complete) {
  std::lock_guard lock(mutex_);
  if (ended_) {
    return;
  }
  ended_ = true;
  complete_ = complete;
  WakeLocked();
}

bool HttpExchange::begun() const {
  std::lock_guard lock(mutex_);
  return begun_;
}

bool HttpExchange::gone() const {
  std::lock_guard lock(mutex_);
  return gone_;
}

bool HttpExchange::ended() const {
  std::lock_guard lock(mutex_);
  return ended_;
}

bool HttpExchange::streaming() const {
  std::lock_guard lock(mutex_);
  return streaming_;
}

void HttpExchange::WakeLocked() {
  if (wake_ && !wake_pending_) {
    wake_pending_ = true;
    wake_();
  }
}

HttpExchange::Output HttpExchange::TakeOutput() {
  std::lock_guard lock(mutex_);
  wake_pending_ = false;
  Output it;
  it.begun = begun_;
  it.streaming = streaming_;
  it.status = status_;
  it.headers = std::move(headers_);
  headers_.clear();
  it.body = std::move(buffer_);
  buffer_ = std::string();
  taken_bytes_ += it.body.size();
  it.ended = ended_;
  it.complete = complete_;
  return it;
}

void HttpExchange::Sent(std::size_t bytes) {
  std::function<void()> drained;
  {
    std::lock_guard lock(mutex_);
    taken_bytes_ -= bytes;
    answer_lease_.Shrink(bytes);
    if (over_high_water_ && UnsentLocked() < kHighWaterBytes / 2) {
      over_high_water_ = false;
      drained = on_drained_;
    }
  }
  if (drained) {
    drained();
  }
}

void HttpExchange::ConnectionEnded(bool complete) {
  std::function<void()> gone;
  {
    std::lock_guard lock(mutex_);
    gone_ = true;
    buffer_ = std::string();
    taken_bytes_ = 0;
    answer_lease_.Clear();
    if (!complete) {
      gone = std::move(on_gone_);
    }
    on_gone_ = nullptr;
    on_drained_ = nullptr;
    wake_ = nullptr;
  }
  if (gone) {
    gone();
  }
}

}  // namespace baobabrun
