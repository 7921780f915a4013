// The sockets of a client's connections, and which request each of them
// carries. libcurl tells before a request is sent which connection carries it,
// but not its socket, and looks at no connection that is idle. It reports the
// end of a transfer only after other transfers may have taken or closed the
// connection, so what becomes of a connection is noted for the request that
// used it at that moment. Only .cc files of clients and headers that are
// internal to them include this file, since it needs libcurl.
#ifndef ENDPOINTS_CONNECTION_SOCKETS_H_
#define ENDPOINTS_CONNECTION_SOCKETS_H_

#include <curl/curl.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/time.h"
#include "endpoints/surplus.h"
#include "settings/process_settings.h"

namespace baobabrun {

class RequestConnection;

// All connections of one client. Used on the client's thread only, and must
// outlive them.
class ConnectionSockets {
 public:
  struct Connection {
    std::string remote;  // address and port
    int local_port = 0;
    bool operator<(const Connection& other) const;
  };

  // `on_surplus`, if set, is called for endpoints that have sent more than was
  // due.
  explicit ConnectionSockets(OnSurplus on_surplus = nullptr)
      : on_surplus_(std::move(on_surplus)) {}

  void Add(Connection connection,
           curl_socket_t fd,
           const Address& endpoint,
           RequestConnection* user);
  // `user` takes the connection from the request that it carried before.
  // Returns CURL_SOCKET_BAD if there is none.
  curl_socket_t Use(const Connection& connection, RequestConnection* user);
  // The connection is idle unless another request has taken it meanwhile.
  void Release(const Connection& connection, const RequestConnection* user);
  void ReportSurplus(const Surplus& surplus) const;
  // A request begins or ends to look for a connection.
  void BeginWaiting() { ++waiting_; }
  void EndWaiting() { --waiting_; }
  bool any_waits() const { return waiting_ > 0; }
  // Ends the idle connections on which bytes have arrived, at most once in
  // kSurplusInterval: nobody reads them, and they would be held for as long as
  // the connection is.
  void EndSurplus(Instant now);
  // Above zero if there are bytes, zero at the connection's end, and below zero
  // if there is nothing.
  static std::ptrdiff_t UnaskedBytes(curl_socket_t fd);
  // A callback of libcurl, which closes no socket of a connection otherwise.
  static int Close(void* cls, curl_socket_t fd);

 private:
  struct Socket {
    curl_socket_t fd = CURL_SOCKET_BAD;
    Address endpoint;
    RequestConnection* user = nullptr;  // null while the connection is idle
    bool shut_down = false;             // libcurl has yet to close it
  };

  static constexpr Duration kSurplusInterval = seconds(1);

  const OnSurplus on_surplus_;
  std::map<Connection, Socket> sockets_;
  Instant next_check_;
  int waiting_ = 0;  // requests that look for a connection
};

// The connection that carries the request of one transfer.
class RequestConnection {
 public:
  // Whether the request may be sent on the connection with this socket;
  // `reused` tells whether that has carried other requests.
  using MaySend = std::function<bool(curl_socket_t fd, bool reused)>;

  // Sets callbacks of `easy`, whose transfer ends before this object does. Null
  // for `may_send` allows any connection.
  RequestConnection(CURL* easy,
                    ConnectionSockets& sockets,
                    Address endpoint,
                    MaySend may_send = nullptr);
  // The connection is idle from now on, unless it was closed or taken.
  ~RequestConnection();
  RequestConnection(const RequestConnection&) = delete;
  RequestConnection& operator=(const RequestConnection&) = delete;

  // The transfer is about to be added to libcurl, which looks for a connection.
  // A client that uses ClosedAtEnd must call it for each of its transfers.
  void LookForConnection();
  // Whether the other end's system has received the whole request, with a body
  // of `body_bytes`. May be called only while the transfer runs. What a
  // response acknowledges has arrived before it, so this is true when the
  // response to a request arrives that was read to its end.
  bool RequestArrived(std::size_t body_bytes) const;
  // Whether libcurl closed the connection at the end of this transfer, as it
  // does after surplus. It also closes one that the endpoint has closed if
  // another transfer looks for a connection; false if that may be why.
  bool ClosedAtEnd() const { return closed_at_end_; }
  // Reports surplus on the connection.
  void ReportSurplus(SurplusFound found) const;
  // Of the connection; zero before there is one.
  int local_port() const { return local_port_; }
  // Whether the connection has carried other requests.
  bool reused() const { return reused_; }

 private:
  friend class ConnectionSockets;

  static int OnConnected(void* cls,
                         char* remote_ip,
                         char* local_ip,
                         int remote_port,
                         int local_port);
  static curl_socket_t OpenSocket(void* cls,
                                  curlsocktype purpose,
                                  curl_sockaddr* address);
  bool Connected(ConnectionSockets::Connection connection);
  // libcurl is about to close the connection, which no other request has taken.
  void OnSocketClosing();
  void Release();
  void StopWaiting();

  CURL* const easy_;
  ConnectionSockets& sockets_;
  const Address endpoint_;
  const MaySend may_send_;
  curl_socket_t opened_ = CURL_SOCKET_BAD;  // unless a connection is reused
  curl_socket_t fd_ = CURL_SOCKET_BAD;
  int local_port_ = 0;
  bool reused_ = false;
  bool waiting_ = false;
  bool closed_at_end_ = false;
  std::optional<ConnectionSockets::Connection> connection_;
};

}  // namespace baobabrun

#endif  // ENDPOINTS_CONNECTION_SOCKETS_H_
