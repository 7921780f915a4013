// Moves bytes between a connection's socket, its request reader and the
// exchange in progress.
#include "callers/http_connection.h"

#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>

#include "base/log.h"
#include "callers/http_server.h"
#include "callers/outgoing_head.h"

namespace baobabrun {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kHeadReadBytes = 4096;
constexpr std::size_t kBodyReadBytes = std::size_t{32} * 1024;
// Bytes of later requests that are held while one waits for its answer.
constexpr std::size_t kMaxPendingBytes = std::size_t{16} * 1024;
// How long a caller that is still sending may take to see the connection's end.
constexpr Duration kClosingTime = seconds(1);

}  // namespace

HttpConnection::HttpConnection(HttpServer* server,
                               asio::io_context& context,
                               asio::ip::tcp::socket socket,
                               asio::ssl::context* tls)
    : server_(server),
      context_(context),
      stream_(std::move(socket), tls),
      timer_(context) {}

void HttpConnection::Start() {
  if (phase_ == Phase::kEnded) {
    return;
  }
  Error error;
  // An error here shows again at the first read.
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
  const Duration idle = server_->idle_timeout_;
  Expect(idle);
  StartTimer(idle);
  stream_.Handshake([self = shared_from_this()](Error failed) {
    if (failed) {
      self->End(false);
    } else {
      self->StartRead();
    }
  });
}

void HttpConnection::StartRead() {
  const bool has_room =
      phase_ != Phase::kAnswering || pending_.size() < kMaxPendingBytes;
  if (reading_ || caller_finished_ || phase_ == Phase::kEnded || !has_room) {
    return;
  }
  const bool in_body = phase_ == Phase::kReading && exchange_ != nullptr &&
                       reader_.announced_bytes() > kHeadReadBytes;
  const auto size = in_body ? kBodyReadBytes : kHeadReadBytes;
  if (read_buffer_.size() != size) {
    read_buffer_ = std::vector<char>(size);
  }
  reading_ = true;
  stream_.ReadSome(asio::buffer(read_buffer_),
                   [self = shared_from_this()](Error error, std::size_t bytes) {
                     self->OnRead(error, bytes);
                   });
}

void HttpConnection::OnRead(Error error, std::size_t bytes) {
  reading_ = false;
  if (phase_ == Phase::kEnded) {
    return;
  }
  if (error == asio::error::operation_aborted && ending_) {
    bytes = stream_.ReadNow(asio::buffer(read_buffer_), &error);
  }
  if (bytes == 0) {
    OnReadEnded(error);
    return;
  }
  if (phase_ != Phase::kClosing) {
    pending_.append(read_buffer_.data(), bytes);
    Expect(server_->idle_timeout_);
    Advance();
  }
  StartRead();
}

void HttpConnection::OnReadEnded(Error error) {
  caller_finished_ = true;
  if (phase_ != Phase::kAnswering) {
    End(false);
    return;
  }
  // An answer that is complete is sent to a caller that only listens.
  const bool may_listen = error == asio::error::eof;
  if (!may_listen || (server_->options_.watch_peers && !exchange_->ended())) {
    End(false);
  }
}

void HttpConnection::Advance() {
  std::size_t consumed = 0;
  while (phase_ == Phase::kReading) {
    const auto it = reader_.Read(std::string_view(pending_).substr(consumed));
    consumed += it.consumed;
    if (exchange_ == nullptr && reader_.in_request()) {
      BeginExchange();
    }
    if (it.step == ReadStep::kHead) {
      OnHead();
    }
    if (reader_.announced_bytes() > server_->max_body_bytes_) {
      RefuseBody(true);
      break;
    }
    if (it.step == ReadStep::kBody) {
      OnBody(it.body);
    } else if (it.step == ReadStep::kEnd) {
      OnRequestEnd();
    } else if (it.step == ReadStep::kFault) {
      Refuse(reader_.fault_status(), reader_.fault());
    } else if (it.step == ReadStep::kMore && consumed == pending_.size()) {
      break;
    }
  }
  pending_.erase(0, consumed);
}

void HttpConnection::BeginExchange() {
  exchange_ = std::make_shared<HttpExchange>(server_->options_.budget);
  exchange_->reading_was_closed_ = server_->OnRequestBegan(this);
  exchange_->wake_ = [self = shared_from_this()] {
    asio::post(self->context_, [self] { self->Flush(); });
  };
  keep_alive_ = !exchange_->reading_was_closed_;
  unread_bytes_expected_ = exchange_->reading_was_closed_;
  head_only_ = false;
  knows_chunks_ = true;
  head_sent_ = false;
  streaming_ = false;
  answer_ended_ = false;
  answer_complete_ = true;
}

void HttpConnection::OnHead() {
  auto head = reader_.TakeHead();
  head_only_ = head.method == "HEAD";
  knows_chunks_ = head.knows_chunks;
  const bool asks_to_keep = knows_chunks_ ? !AsksForClose(head.headers)
                                          : AsksForKeepAlive(head.headers);
  keep_alive_ = keep_alive_ && asks_to_keep;
  auto& request = exchange_->request_;
  request.method = std::move(head.method);
  request.headers = std::move(head.headers);
  const std::string_view target = head.target;
  const auto mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string_view::npos) {
    request.query = target.substr(mark + 1);
  }
  const auto announced = reader_.announced_bytes();
  if (announced > server_->max_body_bytes_) {
    return;  // Advance() refuses it.
  }
  if (!exchange_->HasMemoryFor(announced)) {
    RefuseBody(false);
    return;
  }
  const bool has_body =
      announced > 0 || request.CountHeaders("transfer-encoding") > 0;
  if (has_body && knows_chunks_ &&
      request.HeaderValue("expect") == "100-continue") {
    before_ = "HTTP/1.1 100 Continue\r\n\r\n";
    Write();
  }
}

void HttpConnection::OnBody(std::string_view bytes) {
  if (!exchange_->AppendToBody(bytes)) {
    RefuseBody(false);
  }
}

void HttpConnection::OnRequestEnd() {
  phase_ = Phase::kAnswering;
  server_->handler_(exchange_);
}

void HttpConnection::Refuse(int status, std::string_view reason) {
  Log(Event::kRequestMalformed, "a request was refused: {}", reason);
  keep_alive_ = false;
  unread_bytes_expected_ = true;
  phase_ = Phase::kAnswering;
  exchange_->Respond(status, {{"Content-Type", "text/plain"}},
                     fmt::format("the request is malformed: {}\n", reason));
}

void HttpConnection::RefuseBody(bool too_large) {
  exchange_->DropBody();
  keep_alive_ = false;
  unread_bytes_expected_ = true;
  phase_ = Phase::kAnswering;
  if (too_large) {
    server_->too_large_(*exchange_);
  } else {
    server_->options_.no_memory(*exchange_);
  }
}

bool HttpConnection::AnswerHasBody() const {
  return !head_only_ && MayHaveBody(status_);
}

void HttpConnection::Flush() {
  if (phase_ != Phase::kAnswering || writing_ || answer_ended_) {
    return;
  }
  auto it = exchange_->TakeOutput();
  if (!it.begun) {
    if (it.ended) {
      End(false);
    }
    return;
  }
  if (!head_sent_) {
    AppendHead(it);
  }
  const bool in_chunks = streaming_ && knows_chunks_ && AnswerHasBody();
  if (!AnswerHasBody()) {
    exchange_->Sent(it.body.size());
  } else if (!it.body.empty()) {
    if (in_chunks) {
      before_ += fmt::format("{:x}\r\n", it.body.size());
      after_ = "\r\n";
    }
    body_ = std::move(it.body);
  }
  if (it.ended) {
    answer_ended_ = true;
    answer_complete_ = it.complete;
    if (in_chunks && it.complete) {
      after_ += "0\r\n\r\n";
    }
  }
  if (answer_ended_ || !before_.empty() || !body_.empty()) {
    Write();
  }
}

void HttpConnection::AppendHead(const HttpExchange::Output& it) {
  head_sent_ = true;
  status_ = it.status;
  streaming_ = it.streaming;
  OutgoingHead head;
  head.status = it.status;
  head.headers = it.headers;
  if (!streaming_ && MayHaveBody(status_)) {
    head.length = it.body.size();
  }
  // Without chunks, the end of a stream is the end of its connection.
  const bool has_end_mark = !streaming_ || knows_chunks_ || !AnswerHasBody();
  keep_alive_ = keep_alive_ && has_end_mark && !caller_finished_ &&
                !AsksForClose(it.headers);
  head.keep_alive = keep_alive_;
  head.knows_chunks = knows_chunks_;
  before_ += ToText(head);
}

void HttpConnection::Write() {
  const std::string* const parts[] = {&before_, &body_, &after_};
  std::array<asio::const_buffer, std::size(parts)> unsent;
  std::size_t skip = written_;
  for (std::size_t n = 0; n < std::size(parts); ++n) {
    unsent[n] = asio::buffer(*parts[n]) + skip;
    skip -= std::min(skip, parts[n]->size());
  }
  if (asio::buffer_size(unsent) == 0) {
    OnAllWritten();
    return;
  }
  if (!writing_) {
    Expect(server_->idle_timeout_);
  }
  writing_ = true;
  stream_.WriteSome(unsent,
                    [self = shared_from_this()](Error error, std::size_t n) {
                      self->OnWritten(error, n);
                    });
}

void HttpConnection::OnWritten(Error error, std::size_t bytes) {
  if (phase_ == Phase::kEnded) {
    return;
  }
  if (error) {
    End(false);
    return;
  }
  const auto of_body = [this] {
    return std::min(written_ - std::min(written_, before_.size()),
                    body_.size());
  };
  const auto already = of_body();
  written_ += bytes;
  if (of_body() > already) {
    exchange_->Sent(of_body() - already);
  }
  Expect(server_->idle_timeout_);
  Write();
}

void HttpConnection::OnAllWritten() {
  writing_ = false;
  before_.clear();
  body_ = std::string();
  after_.clear();
  written_ = 0;
  if (phase_ != Phase::kAnswering) {
    return;
  }
  if (answer_ended_) {
    OnAnswerSent();
  } else {
    Flush();
  }
}

void HttpConnection::OnAnswerSent() {
  if (!answer_complete_ && streaming_ && !knows_chunks_) {
    End(true);
    return;
  }
  exchange_->ConnectionEnded(answer_complete_);
  exchange_ = nullptr;
  server_->OnRequestEnded(this);
  if (!keep_alive_ || !answer_complete_) {
    BeginClosing();
    return;
  }
  phase_ = Phase::kReading;
  Expect(server_->idle_timeout_);
  Advance();
  StartRead();
}

void HttpConnection::BeginClosing() {
  phase_ = Phase::kClosing;
  pending_ = std::string();
  if (caller_finished_ || (!unread_bytes_expected_ && !stream_.has_tls())) {
    End(false);
    return;
  }
  Expect(kClosingTime);
  StartTimer(kClosingTime);
  stream_.FinishSending([self = shared_from_this()](Error error) {
    if (error || self->stream_.has_tls()) {
      self->End(false);
    }
  });
  if (!stream_.has_tls()) {
    StartRead();
  }
}

void HttpConnection::EndIfIdle() {
  if (phase_ != Phase::kReading || exchange_ != nullptr) {
    return;
  }
  ending_ = true;
  if (reading_) {
    Error error;
    stream_.socket().cancel(error);
  } else {
    End(false);
  }
}

void HttpConnection::Abort() {
  End(false);
}

void HttpConnection::End(bool reset) {
  if (phase_ == Phase::kEnded) {
    return;
  }
  phase_ = Phase::kEnded;
  if (exchange_ != nullptr) {
    // A caller without chunks would take an end in good order for the end of
    // the stream.
    reset = reset || (exchange_->streaming() && !knows_chunks_);
    exchange_->ConnectionEnded(false);
    exchange_ = nullptr;
    server_->OnRequestEnded(this);
  }
  Error error;
  if (reset) {
    stream_.socket().set_option(asio::socket_base::linger(true, 0), error);
    if (error) {
      Log(Event::kResetFailed,
          "the connection of an incomplete answer can't be reset: {}",
          error.message());
    }
  }
  stream_.socket().close(error);
  timer_.cancel();
  server_->OnClosed(this);
}

void HttpConnection::Expect(Duration within) {
  deadline_ = asio::steady_timer::clock_type::now() + within;
}

void HttpConnection::StartTimer(Duration wait) {
  timer_.expires_after(wait);
  timer_.async_wait(
      [self = shared_from_this()](Error error) { self->OnTimer(error); });
}

void HttpConnection::OnTimer(Error error) {
  if (error || phase_ == Phase::kEnded) {
    return;
  }
  const Duration idle = server_->idle_timeout_;
  const bool waits_for_handler = phase_ == Phase::kAnswering && !writing_;
  const auto left = deadline_ - asio::steady_timer::clock_type::now();
  if (waits_for_handler) {
    StartTimer(idle);
  } else if (left <= Duration::zero()) {
    End(false);
  } else {
    StartTimer(std::min<Duration>(left, idle));
  }
}

}  // namespace baobabrun
