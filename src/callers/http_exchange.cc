// The state of one HTTP exchange, shared by libmicrohttpd's threads and the
// thread that writes the answer.
#include "callers/http_exchange.h"

#include <microhttpd.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <system_error>
#include <utility>

#include "base/log.h"

namespace baobabrun {
namespace {

constexpr std::size_t kStreamBlockBytes = 16 * 1024;
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
  ResumeLocked();
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
  ResumeLocked();
}

bool HttpExchange::Write(std::string_view bytes) {
  std::lock_guard lock(mutex_);
  if (ended_ || gone_) {
    return true;
  }
  buffer_.append(bytes);
  const bool has_memory = answer_lease_.Grow(bytes.size());
  ResumeLocked();
  over_high_water_ =
      !has_memory || buffer_.size() - read_offset_ > kHighWaterBytes;
  return !over_high_water_;
}

void HttpExchange::End(bool complete) {
  std::lock_guard lock(mutex_);
  if (ended_) {
    return;
  }
  ended_ = true;
  complete_ = complete;
  ResumeLocked();
}

bool HttpExchange::begun() const {
  std::lock_guard lock(mutex_);
  return begun_;
}

bool HttpExchange::gone() const {
  std::lock_guard lock(mutex_);
  return gone_;
}

void HttpExchange::Suspend() {
  std::lock_guard lock(mutex_);
  suspended_ = true;
  MHD_suspend_connection(connection_);
}

void HttpExchange::ResumeLocked() {
  if (suspended_ && !gone_) {
    suspended_ = false;
    MHD_resume_connection(connection_);
  }
}

MHD_Response* HttpExchange::TakeResponse(int* status) {
  std::lock_guard lock(mutex_);
  if (aborted_ || !begun_) {
    return nullptr;
  }
  MHD_Response* response = nullptr;
  if (streaming_) {
    auto* self = new HttpExchangePtr(shared_from_this());
    response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, kStreamBlockBytes,
        [](void* cls, std::uint64_t /*pos*/, char* buf, std::size_t max) {
          return static_cast<ssize_t>(
              (*static_cast<HttpExchangePtr*>(cls))->Read(buf, max));
        },
        self, [](void* cls) { delete static_cast<HttpExchangePtr*>(cls); });
  } else {
    response = MHD_create_response_from_buffer(buffer_.size(), buffer_.data(),
                                               MHD_RESPMEM_MUST_COPY);
    buffer_ = std::string();
    all_read_ = true;
  }
  for (const auto& it : headers_) {
    MHD_add_response_header(response, it.name.c_str(), it.value.c_str());
  }
  *status = status_;
  return response;
}

std::ptrdiff_t HttpExchange::Read(char* buf, std::size_t max) {
  std::function<void()> drained;
  std::size_t n = 0;
  {
    std::lock_guard lock(mutex_);
    n = std::min(max, buffer_.size() - read_offset_);
    if (n == 0) {
      if (aborted_ || (ended_ && !complete_)) {
        if (!peer_knows_chunks_) {
          ResetConnection();
        }
        return MHD_CONTENT_READER_END_WITH_ERROR;
      }
      if (ended_) {
        all_read_ = true;
        return MHD_CONTENT_READER_END_OF_STREAM;
      }
      suspended_ = true;
      MHD_suspend_connection(connection_);
      return 0;
    }
    std::memcpy(buf, buffer_.data() + read_offset_, n);
    read_offset_ += n;
    answer_lease_.Shrink(n);
    if (read_offset_ == buffer_.size()) {
      buffer_ = std::string();
      read_offset_ = 0;
    } else if (read_offset_ > kHighWaterBytes) {
      buffer_.erase(0, read_offset_);
      read_offset_ = 0;
    }
    if (over_high_water_ &&
        buffer_.size() - read_offset_ < kHighWaterBytes / 2) {
      over_high_water_ = false;
      drained = on_drained_;
    }
  }
  if (drained) {
    drained();
  }
  return static_cast<std::ptrdiff_t>(n);
}

void HttpExchange::ConnectionEnded(bool complete) {
  std::function<void()> gone;
  {
    std::lock_guard lock(mutex_);
    if (!complete) {
      ResetIfEndIsTheMarkLocked();
    }
    gone_ = true;
    suspended_ = false;
    buffer_ = std::string();
    read_offset_ = 0;
    answer_lease_.Clear();
    if (!all_read_) {
      gone = std::move(on_gone_);
    }
    on_gone_ = nullptr;
    on_drained_ = nullptr;
  }
  if (gone) {
    gone();
  }
}

bool HttpExchange::HasPeerClosed() const {
  const auto* info =
      MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info == nullptr) {
    return false;
  }
  char byte = 0;
  const auto n =
      recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT | MSG_NOSIGNAL);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

// libmicrohttpd ends each connection in good order, also after an error.
void HttpExchange::ResetConnection() {
  const auto* info =
      MHD_get_connection_info(connection_, MHD_CONNECTION_INFO_CONNECTION_FD);
  // Linux resets a connection whose socket is told to connect to no address.
  const sockaddr none{AF_UNSPEC, {}};
  if (info == nullptr || connect(info->connect_fd, &none, sizeof(none)) != 0) {
    Log(Event::kResetFailed,
        "the connection of an incomplete answer can't be reset: {}",
        std::generic_category().message(errno));
  }
}

void HttpExchange::ResetIfEndIsTheMarkLocked() {
  if (streaming_ && !peer_knows_chunks_ && !gone_) {
    ResetConnection();
  }
}

void HttpExchange::CloseIfPeerGone() {
  std::lock_guard lock(mutex_);
  // libmicrohttpd doesn't poll a suspended connection, so this check is what
  // detects that the peer has closed it.
  if (suspended_ && !gone_ && HasPeerClosed()) {
    aborted_ = true;
    ResumeLocked();
  }
}

void HttpExchange::Abort() {
  std::lock_guard lock(mutex_);
  aborted_ = true;
  // A daemon that stops doesn't ask for the rest of the answer.
  ResetIfEndIsTheMarkLocked();
  ResumeLocked();
}

}  // namespace baobabrun
