// The bytes of one connection, in clear or under TLS.
//
// Included by the server's own files only: it needs Asio's headers.
#ifndef CALLERS_CALLER_STREAM_H_
#define CALLERS_CALLER_STREAM_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <cstddef>
#include <functional>
#include <optional>

namespace baobabrun {

class CallerStream {
 public:
  using Error = boost::system::error_code;
  using OnDone = std::function<void(Error)>;

  // Without a TLS context, bytes pass in clear.
  CallerStream(boost::asio::ip::tcp::socket socket,
               boost::asio::ssl::context* tls)
      : socket_(std::move(socket)) {
    if (tls != nullptr) {
      tls_.emplace(socket_, *tls);
    }
  }

  boost::asio::ip::tcp::socket& socket() { return socket_; }
  bool has_tls() const { return tls_.has_value(); }

  // Calls `on_done` once bytes may pass: at once without TLS.
  void Handshake(OnDone on_done) {
    if (tls_.has_value()) {
      tls_->async_handshake(boost::asio::ssl::stream_base::server,
                            std::move(on_done));
    } else {
      on_done({});
    }
  }

  template <class Buffers, class Handler>
  void ReadSome(const Buffers& buffers, Handler handler) {
    if (tls_.has_value()) {
      tls_->async_read_some(buffers, std::move(handler));
    } else {
      socket_.async_read_some(buffers, std::move(handler));
    }
  }

  template <class Buffers, class Handler>
  void WriteSome(const Buffers& buffers, Handler handler) {
    if (tls_.has_value()) {
      tls_->async_write_some(buffers, std::move(handler));
    } else {
      socket_.async_write_some(buffers, std::move(handler));
    }
  }

  // Reads what has arrived, without waiting.
  template <class Buffers>
  std::size_t ReadNow(const Buffers& buffers, Error* error) {
    socket_.non_blocking(true, *error);
    if (*error) {
      return 0;
    }
    return tls_.has_value() ? tls_->read_some(buffers, *error)
                            : socket_.read_some(buffers, *error);
  }

  // Tells the caller that no byte will follow.
  void FinishSending(OnDone on_done) {
    if (tls_.has_value()) {
      tls_->async_shutdown(std::move(on_done));
      return;
    }
    Error error;
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    on_done(error);
  }

 private:
  boost::asio::ip::tcp::socket socket_;
  std::optional<boost::asio::ssl::stream<boost::asio::ip::tcp::socket&>> tls_;
};

}  // namespace baobabrun

#endif  // CALLERS_CALLER_STREAM_H_
