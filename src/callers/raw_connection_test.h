// A TCP connection for tests that send and read HTTP byte by byte.
#ifndef CALLERS_RAW_CONNECTION_TEST_H_
#define CALLERS_RAW_CONNECTION_TEST_H_

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <ace/Time_Value.h>
#include <cppunit/extensions/HelperMacros.h>
#include <sys/socket.h>

#include <cerrno>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/time.h"
#include "settings/process_settings.h"

namespace baobabrun {

class RawConnection {
 public:
  // Far longer than any wait of a test should take.
  static constexpr int kTimeoutSeconds = 60;

  explicit RawConnection(const Address& address) {
    CPPUNIT_ASSERT(Open(address));
  }
  // Returns null if nobody listens there.
  static std::unique_ptr<RawConnection> TryOpen(const Address& address) {
    std::unique_ptr<RawConnection> connection(new RawConnection());
    return connection->Open(address) ? std::move(connection) : nullptr;
  }
  ~RawConnection() { stream_.close(); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Send(std::string_view text) {
    stream_.send_n(text.data(), text.size(), MSG_NOSIGNAL);
  }
  void Close() { stream_.close(); }
  // Reads until the text contains `end`, the server closes the connection or
  // nothing arrives within the timeout. Returns what was read.
  std::string ReadTo(std::string_view end) {
    std::string all;
    char buf[4096];
    ACE_Time_Value timeout(kTimeoutSeconds);
    while (end.empty() || all.find(end) == std::string::npos) {
      const auto n = stream_.recv(buf, sizeof(buf), &timeout);
      if (n <= 0) {
        ended_in_good_order_ = n == 0;
        break;
      }
      all.append(buf, static_cast<std::size_t>(n));
    }
    return all;
  }
  std::string ReadAll() { return ReadTo(""); }
  // Reads until the server closes the connection, or sends nothing for `wait`.
  std::string ReadAllFor(milliseconds wait) {
    std::string all;
    char buf[4096];
    ACE_Time_Value timeout(0, static_cast<suseconds_t>(wait.count() * 1'000));
    for (;;) {
      const auto n = stream_.recv(buf, sizeof(buf), &timeout);
      if (n <= 0) {
        ended_in_good_order_ = n == 0;
        ended_ = n == 0 || errno != ETIME;
        return all;
      }
      all.append(buf, static_cast<std::size_t>(n));
    }
  }
  // Whether the last read met the connection's end, and no reset or timeout.
  bool ended_in_good_order() const { return ended_in_good_order_; }
  // Whether the last ReadAllFor met the connection's end.
  bool ended() const { return ended_; }
  // Waits for the server to close the connection. Returns false if it sends
  // anything first or the timeout passes.
  bool IsClosed() {
    char byte = 0;
    ACE_Time_Value timeout(kTimeoutSeconds);
    return stream_.recv(&byte, 1, &timeout) == 0;
  }

 private:
  RawConnection() = default;
  bool Open(const Address& address) {
    ACE_INET_Addr remote(address.port, address.host.c_str());
    return ACE_SOCK_Connector().connect(stream_, remote) == 0;
  }

  ACE_SOCK_Stream stream_;
  bool ended_in_good_order_ = false;
  bool ended_ = false;
};

}  // namespace baobabrun

#endif  // CALLERS_RAW_CONNECTION_TEST_H_
