// An endpoint for tests. It answers requests with scripted bytes, whether or
// not they are proper HTTP. It serves one connection at a time, and one request
// on it unless the answer keeps it open.
#ifndef ENDPOINTS_SCRIPTED_ENDPOINT_TEST_H_
#define ENDPOINTS_SCRIPTED_ENDPOINT_TEST_H_

#include <ace/ACE.h>
#include <ace/INET_Addr.h>
#include <ace/SOCK_Acceptor.h>
#include <ace/SOCK_Stream.h>
#include <ace/Time_Value.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <limits>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "base/time.h"
#include "settings/process_settings.h"

namespace baobabrun {

struct ScriptedAnswer {
  enum class End {
    kClose,  // closes the connection
    kReset,  // resets the connection
    // Closes its half of the connection, and resets the connection after
    // `reset_after`. A client that is still sending its request may see the
    // reset before the answer.
    kHalfCloseThenReset,
    // Waits until the client closes the connection. Sends `repeated` again and
    // again in the meantime, if it isn't empty.
    kHold,
    // Reads the next request from the same connection, until the client closes
    // it or opens another one.
    kKeep,
  };
  // A `reset_after` for resets that the client can't see during its call.
  static constexpr milliseconds kAfterTheCall{60'000};

  std::string bytes;
  End end = End::kClose;
  std::string repeated = {};
  bool slowly = false;  // pauses each time before it sends `repeated`
  // Follows the answer when the test calls SendUnasked.
  std::string unasked = {};
  // Silent for this long before it reads the request and before it sends
  // `rest`.
  milliseconds silence{0};
  std::string rest = {};  // sent after `bytes`
  // Bytes of the request's body that it reads; the rest stays unread.
  std::size_t reads = std::numeric_limits<std::size_t>::max();
  milliseconds reset_after{0};  // or until the endpoint is destroyed
  // Size of the connection's receive buffer in bytes; zero for one that what is
  // left unread of a long request doesn't fit into.
  int receive_buffer = 0;
};

class ScriptedEndpoint {
 public:
  // Request n gets answer n; later ones get the last answer.
  explicit ScriptedEndpoint(std::vector<ScriptedAnswer> answers)
      : answers_(std::move(answers)) {
    const ACE_INET_Addr any(static_cast<u_short>(0), "127.0.0.1");
    CPPUNIT_ASSERT_EQUAL(0, acceptor_.open(any, 1));
    // What an endpoint leaves unread of a long request doesn't fit into these.
    constexpr int kSilentBuffer = 4'096;
    constexpr int kUnreadBuffer = 131'072;
    const bool unread = std::any_of(
        answers_.begin(), answers_.end(),
        [](const auto& it) { return it.reads != ScriptedAnswer().reads; });
    int bytes = AnswerTo(0).silence.count() != 0 ? kSilentBuffer
                : unread                         ? kUnreadBuffer
                                                 : 0;
    if (AnswerTo(0).receive_buffer != 0) {
      bytes = AnswerTo(0).receive_buffer;
    }
    if (bytes != 0) {
      acceptor_.set_option(SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    ACE_INET_Addr local;
    acceptor_.get_local_addr(local);
    address_ = {"127.0.0.1", local.get_port_number()};
    thread_ = std::thread([this] { Run(); });
  }
  ~ScriptedEndpoint() {
    stopping_ = true;
    thread_.join();
    acceptor_.close();
  }
  ScriptedEndpoint(const ScriptedEndpoint&) = delete;
  ScriptedEndpoint& operator=(const ScriptedEndpoint&) = delete;

  const Address& address() const { return address_; }
  // Bytes of answers that were sent on all connections together.
  std::size_t bytes_sent() const { return bytes_sent_; }
  // How many connections were accepted.
  int accepted() const { return accepted_; }
  // How many connections have ended.
  int ended() const { return ended_; }
  // Returns when as many answers have been sent, and the connections have been
  // closed of those that end with it.
  void WaitUntilAnswered(int answers) const {
    while (answered_ < answers) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  // Sends the `unasked` bytes of the answer before; returns when they were
  // sent.
  void SendUnasked() {
    send_unasked_ = true;
    while (send_unasked_) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }
  // In the order in which they came. May be called only after the answers
  // have been received.
  const std::vector<std::string>& requests() const { return requests_; }

 private:
  void Run() {
    for (std::size_t n = 0; !stopping_;) {
      ACE_SOCK_Stream stream;
      ACE_Time_Value timeout = PollInterval();
      if (acceptor_.accept(stream, nullptr, &timeout) != 0) {
        continue;
      }
      ++accepted_;
      bool open = true;
      while (open) {
        std::this_thread::sleep_for(AnswerTo(n).silence);
        if (!ReadRequest(stream, AnswerTo(n).reads)) {
          break;
        }
        const auto& answer = AnswerTo(n++);
        Answer(stream, answer);
        open = answer.end == ScriptedAnswer::End::kKeep;
        if (!open) {
          stream.close();
        }
        ++answered_;
      }
      stream.close();
      ++ended_;
    }
  }

  const ScriptedAnswer& AnswerTo(std::size_t connection) const {
    return answers_[std::min(connection, answers_.size() - 1)];
  }

  // Reads a head and a body of the length that the head states, if any, but
  // not more than `max_body` bytes of it.
  bool ReadRequest(ACE_SOCK_Stream& stream, std::size_t max_body) {
    constexpr std::string_view kLength = "Content-Length: ";
    char buf[65'536];
    std::string request;
    std::size_t size = 0;  // zero until the head is complete
    while (size == 0 || request.size() < size) {
      const auto wanted =
          size == 0 ? 1 : std::min(sizeof(buf), size - request.size());
      ACE_Time_Value timeout = PollInterval();
      const auto n = stream.recv(buf, wanted, &timeout);
      if (stopping_ || n == 0 || (n < 0 && errno != ETIME) ||
          (n < 0 && request.empty() && AnotherConnectionWaits())) {
        return false;
      }
      if (n > 0) {
        request.append(buf, static_cast<std::size_t>(n));
      }
      if (size == 0 && request.ends_with("\r\n\r\n")) {
        const auto at = request.find(kLength);
        const auto body = at == std::string::npos
                              ? 0
                              : std::stoul(request.substr(at + kLength.size()));
        size = request.size() + std::min<std::size_t>(body, max_body);
      }
    }
    requests_.push_back(std::move(request));
    return true;
  }

  bool AnotherConnectionWaits() const {
    ACE_Time_Value none;
    return ACE::handle_read_ready(acceptor_.get_handle(), &none) == 1;
  }

  void Answer(ACE_SOCK_Stream& stream, const ScriptedAnswer& answer) {
    bool open = Send(stream, answer.bytes);
    std::this_thread::sleep_for(answer.silence);
    open = open && Send(stream, answer.rest);
    if (answer.end == ScriptedAnswer::End::kReset) {
      ResetOnClose(stream);
    } else if (answer.end == ScriptedAnswer::End::kHalfCloseThenReset) {
      stream.close_writer();
      const auto reset_at = SystemClock().Now() + answer.reset_after;
      while (!stopping_ && SystemClock().Now() < reset_at) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      ResetOnClose(stream);
    } else if (answer.end == ScriptedAnswer::End::kHold) {
      while (open && !stopping_) {
        if (answer.slowly || answer.repeated.empty()) {
          open = !PeerClosed(stream);
        }
        open = open && Send(stream, answer.repeated);
      }
    } else if (!answer.unasked.empty()) {
      while (!send_unasked_ && !stopping_) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      Send(stream, answer.unasked);
      send_unasked_ = false;
    }
  }

  static void ResetOnClose(ACE_SOCK_Stream& stream) {
    linger reset{1, 0};
    stream.set_option(SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }

  // Returns false once the client has closed the connection.
  bool Send(ACE_SOCK_Stream& stream, const std::string& bytes) {
    for (std::size_t sent = 0; sent < bytes.size() && !stopping_;) {
      ACE_Time_Value timeout = PollInterval();
      const auto n = stream.send(bytes.data() + sent, bytes.size() - sent,
                                 MSG_NOSIGNAL, &timeout);
      if (n <= 0 && errno != ETIME) {
        return false;
      }
      if (n > 0) {
        sent += static_cast<std::size_t>(n);
        bytes_sent_ += static_cast<std::size_t>(n);
      }
    }
    return true;
  }

  static bool PeerClosed(ACE_SOCK_Stream& stream) {
    char byte = 0;
    ACE_Time_Value timeout = PollInterval();
    const auto n = stream.recv(&byte, 1, &timeout);
    return n == 0 || (n < 0 && errno != ETIME);
  }

  static ACE_Time_Value PollInterval() {
    constexpr suseconds_t kMicroseconds = 20'000;
    return ACE_Time_Value(0, kMicroseconds);
  }

  const std::vector<ScriptedAnswer> answers_;
  ACE_SOCK_Acceptor acceptor_;
  Address address_;
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> bytes_sent_{0};
  std::atomic<int> accepted_{0};
  std::atomic<int> ended_{0};
  std::atomic<int> answered_{0};
  std::atomic<bool> send_unasked_{false};
  std::vector<std::string> requests_;
  std::thread thread_;
};

}  // namespace baobabrun

#endif  // ENDPOINTS_SCRIPTED_ENDPOINT_TEST_H_
