// Finds the sockets with libcurl's callbacks.
#include "endpoints/connection_sockets.h"

#include <fmt/core.h>
#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <tuple>
#include <utility>
#include <vector>

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<SurplusFound> kSurplusFound[] = {
    {SurplusFound::kAtEnd, "at_end"},
    {SurplusFound::kIdle, "idle"},
    {SurplusFound::kOnReuse, "on_reuse"},
};

bool ClosedByEndpoint(curl_socket_t fd) {
  const auto n = ConnectionSockets::UnaskedBytes(fd);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

}  // namespace

std::string_view NameOf(SurplusFound found) {
  return NameOf<SurplusFound>(kSurplusFound, found);
}

bool ConnectionSockets::Connection::operator<(const Connection& other) const {
  return std::tie(remote, local_port) <
         std::tie(other.remote, other.local_port);
}

void ConnectionSockets::Add(Connection connection,
                            curl_socket_t fd,
                            const Address& endpoint,
                            RequestConnection* user) {
  sockets_[std::move(connection)] = {fd, endpoint, user};
}

curl_socket_t ConnectionSockets::Use(const Connection& connection,
                                     RequestConnection* user) {
  const auto it = sockets_.find(connection);
  if (it == sockets_.end()) {
    return CURL_SOCKET_BAD;
  }
  it->second.user = user;
  return it->second.fd;
}

void ConnectionSockets::Release(const Connection& connection,
                                const RequestConnection* user) {
  const auto it = sockets_.find(connection);
  if (it != sockets_.end() && it->second.user == user) {
    it->second.user = nullptr;
  }
}

void ConnectionSockets::ReportSurplus(const Surplus& surplus) const {
  if (on_surplus_) {
    on_surplus_(surplus);
  }
}

void ConnectionSockets::EndSurplus(Instant now) {
  if (now < next_check_) {
    return;
  }
  next_check_ = now + kSurplusInterval;
  std::vector<pollfd> polls;
  std::vector<std::pair<const Connection, Socket>*> idle;
  for (auto& it : sockets_) {
    if (it.second.user == nullptr && !it.second.shut_down) {
      polls.push_back({it.second.fd, POLLIN, 0});
      idle.push_back(&it);
    }
  }
  if (polls.empty() || poll(polls.data(), polls.size(), 0) <= 0) {
    return;
  }
  for (std::size_t n = 0; n < polls.size(); ++n) {
    if (polls[n].revents != 0 && UnaskedBytes(polls[n].fd) > 0) {
      // libcurl finds the connection dead when it would use it again.
      shutdown(polls[n].fd, SHUT_RDWR);
      auto& [connection, socket] = *idle[n];
      socket.shut_down = true;
      ReportSurplus(
          {socket.endpoint, connection.local_port, SurplusFound::kIdle});
    }
  }
}

std::ptrdiff_t ConnectionSockets::UnaskedBytes(curl_socket_t fd) {
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

int ConnectionSockets::Close(void* cls, curl_socket_t fd) {
  auto& sockets = static_cast<ConnectionSockets*>(cls)->sockets_;
  const auto it =
      std::find_if(sockets.begin(), sockets.end(),
                   [fd](const auto& entry) { return entry.second.fd == fd; });
  if (it != sockets.end()) {
    if (it->second.user != nullptr) {
      it->second.user->OnSocketClosing();
    }
    sockets.erase(it);
  }
  return close(fd);
}

RequestConnection::RequestConnection(CURL* easy,
                                     ConnectionSockets& sockets,
                                     Address endpoint,
                                     MaySend may_send)
    : easy_(easy),
      sockets_(sockets),
      endpoint_(std::move(endpoint)),
      may_send_(std::move(may_send)) {
  curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION,
                   &RequestConnection::OnConnected);
  curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETFUNCTION, &OpenSocket);
  curl_easy_setopt(easy_, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETFUNCTION,
                   &ConnectionSockets::Close);
  curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETDATA, &sockets_);
}

RequestConnection::~RequestConnection() {
  Release();
  StopWaiting();
}

void RequestConnection::Release() {
  if (connection_) {
    sockets_.Release(*connection_, this);
  }
}

void RequestConnection::LookForConnection() {
  StopWaiting();
  waiting_ = true;
  sockets_.BeginWaiting();
}

void RequestConnection::StopWaiting() {
  if (std::exchange(waiting_, false)) {
    sockets_.EndWaiting();
  }
}

int RequestConnection::OnConnected(void* cls,
                                   char* remote_ip,
                                   char* /*local_ip*/,
                                   int remote_port,
                                   int local_port) {
  const bool send = static_cast<RequestConnection*>(cls)->Connected(
      {fmt::format("{}:{}", remote_ip, remote_port), local_port});
  return send ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

curl_socket_t RequestConnection::OpenSocket(void* cls,
                                            curlsocktype /*purpose*/,
                                            curl_sockaddr* address) {
  auto* self = static_cast<RequestConnection*>(cls);
  self->opened_ = socket(address->family, address->socktype | SOCK_CLOEXEC,
                         address->protocol);
  return self->opened_;
}

bool RequestConnection::Connected(ConnectionSockets::Connection connection) {
  StopWaiting();
  Release();
  closed_at_end_ = false;
  local_port_ = connection.local_port;
  reused_ = opened_ == CURL_SOCKET_BAD;
  connection_ = std::move(connection);
  fd_ = reused_ ? sockets_.Use(*connection_, this) : opened_;
  if (may_send_ && !may_send_(fd_, reused_)) {
    return false;
  }
  if (!reused_) {
    sockets_.Add(*connection_, opened_, endpoint_, this);
  }
  return true;
}

bool RequestConnection::RequestArrived(std::size_t body_bytes) const {
  curl_off_t sent = 0;
  curl_easy_getinfo(easy_, CURLINFO_SIZE_UPLOAD_T, &sent);
  int unacknowledged = 0;
  return std::cmp_greater_equal(sent, body_bytes) &&
         (ioctl(fd_, SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0);
}

void RequestConnection::OnSocketClosing() {
  closed_at_end_ = !sockets_.any_waits() || !ClosedByEndpoint(fd_);
}

void RequestConnection::ReportSurplus(SurplusFound found) const {
  sockets_.ReportSurplus({endpoint_, local_port_, found});
}

}  // namespace baobabrun
