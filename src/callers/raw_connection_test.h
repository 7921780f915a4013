// A TCP connection for tests that send and read HTTP byte by byte.
#ifndef CALLERS_RAW_CONNECTION_TEST_H_
#define CALLERS_RAW_CONNECTION_TEST_H_

#include <ace/INET_Addr.h>
#include <ace/SOCK_Connector.h>
#include <ace/SOCK_Stream.h>
#include <ace/Time_Value.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>

#include "settings/process_settings.h"

namespace baobabrun {

class RawConnection {
 public:
  // Far longer than any wait of a test should take.
  static constexpr int kTimeoutSeconds = 60;

  explicit RawConnection(const Address& address) {
    ACE_INET_Addr remote(address.port, address.host.c_str());
    ACE_SOCK_Connector connector;
    CPPUNIT_ASSERT_EQUAL(0, connector.connect(stream_, remote));
  }
  ~RawConnection() { stream_.close(); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Send(std::string_view text) { stream_.send_n(text.data(), text.size()); }
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
        break;
      }
      all.append(buf, static_cast<std::size_t>(n));
    }
    return all;
  }
  std::string ReadAll() { return ReadTo(""); }
  // Waits for the server to close the connection. Returns false if it sends
  // anything first or the timeout passes.
  bool IsClosed() {
    char byte = 0;
    ACE_Time_Value timeout(kTimeoutSeconds);
    return stream_.recv(&byte, 1, &timeout) == 0;
  }

 private:
  ACE_SOCK_Stream stream_;
};

}  // namespace baobabrun

#endif  // CALLERS_RAW_CONNECTION_TEST_H_
