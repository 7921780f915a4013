// Tests the server under TLS: whole answers, streams whose end is the end of
// the connection, cut streams, and files that hold no certificate or key.
#include <cppunit/extensions/HelperMacros.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <unistd.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>

#include "callers/http_server.h"

namespace baobabrun {
namespace {

namespace asio = boost::asio;

// Writes a new key and its self-signed certificate.
void WriteCertificate(const TlsSettings& files) {
  const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(
      EVP_EC_gen("P-256"), &EVP_PKEY_free);
  const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(),
                                                                &X509_free);
  constexpr long kLifetimeSeconds = 3600;
  X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -kLifetimeSeconds);
  X509_gmtime_adj(X509_getm_notAfter(certificate.get()), kLifetimeSeconds);
  X509_set_pubkey(certificate.get(), key.get());
  X509_sign(certificate.get(), key.get(), EVP_sha256());
  FILE* out = std::fopen(files.certificate_file.c_str(), "w");
  CPPUNIT_ASSERT(out != nullptr);
  PEM_write_X509(out, certificate.get());
  std::fclose(out);
  out = std::fopen(files.key_file.c_str(), "w");
  CPPUNIT_ASSERT(out != nullptr);
  PEM_write_PrivateKey(out, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(out);
}

}  // namespace

class TlsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TlsTest);
  CPPUNIT_TEST(RequestsAreAnswered);
  CPPUNIT_TEST(EndOfAStreamIsMarked);
  CPPUNIT_TEST(CallerThatSpeaksNoTlsIsClosed);
  CPPUNIT_TEST(WrongFilesAreNamed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    folder_ = std::filesystem::temp_directory_path() /
              ("tls_test." + std::to_string(getpid()));
    std::filesystem::create_directories(folder_);
    files_ = {folder_ / "certificate.pem", folder_ / "key.pem"};
    WriteCertificate(files_);
  }
  void tearDown() override {
    server_ = nullptr;
    std::filesystem::remove_all(folder_);
  }

  void RequestsAreAnswered() {
    StartServer();
    const std::string body(100'000, 'b');
    const auto reading =
        Call("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" +
             body + "GET /y HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(reading.text.find("POST 100000") != std::string::npos);
    CPPUNIT_ASSERT(reading.text.ends_with("GET 0"));
    CPPUNIT_ASSERT(reading.end_marked);
  }

  // To a caller without chunks, TLS tells an end from a cut.
  void EndOfAStreamIsMarked() {
    StartServer();
    const auto whole = Call("GET /whole HTTP/1.0\r\n\r\n");
    CPPUNIT_ASSERT(whole.text.ends_with("\r\n\r\npart"));
    CPPUNIT_ASSERT(whole.end_marked);
    const auto cut = Call("GET /cut HTTP/1.0\r\n\r\n");
    CPPUNIT_ASSERT(!cut.end_marked);
  }

  void CallerThatSpeaksNoTlsIsClosed() {
    StartServer();
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect(Endpoint());
    asio::write(socket, asio::buffer(
                            std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::string answer;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answer), error);
    CPPUNIT_ASSERT(answer.find("HTTP/1.1") == std::string::npos);
  }

  void WrongFilesAreNamed() {
    for (const auto& path : {files_.key_file, files_.certificate_file}) {
      std::ofstream(path) << "nothing";
      HttpServerOptions options = Options();
      const auto server = HttpServer::Start(
          options, [](const HttpExchangePtr&) {}, [](HttpExchange&) {});
      CPPUNIT_ASSERT(!server.ok());
      CPPUNIT_ASSERT(server.error().message.starts_with(path.string() + ": "));
    }
  }

 private:
  struct Reading {
    std::string text;
    bool end_marked = false;  // the server has said that no byte follows
  };

  HttpServerOptions Options() const {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.name = "test";
    options.tls = files_;
    return options;
  }

  void StartServer() {
    auto server = HttpServer::Start(
        Options(),
        [](const HttpExchangePtr& it) {
          const auto& request = it->request();
          if (request.path == "/whole" || request.path == "/cut") {
            it->Begin(200, {});
            it->Write("part");
            it->End(request.path == "/whole");
          } else {
            it->Respond(
                200, {},
                request.method + " " + std::to_string(request.body.size()));
          }
        },
        [](HttpExchange&) {});
    CPPUNIT_ASSERT(server.ok());
    server_ = std::move(server.value());
  }

  asio::ip::tcp::endpoint Endpoint() const {
    return {asio::ip::make_address(server_->address().host),
            server_->address().port};
  }

  Reading Call(const std::string& request) const {
    asio::io_context context;
    asio::ssl::context tls(asio::ssl::context::tls_client);
    asio::ssl::stream<asio::ip::tcp::socket> stream(context, tls);
    stream.lowest_layer().connect(Endpoint());
    stream.handshake(asio::ssl::stream_base::client);
    asio::write(stream, asio::buffer(request));
    Reading reading;
    boost::system::error_code error;
    asio::read(stream, asio::dynamic_buffer(reading.text), error);
    reading.end_marked = error == asio::error::eof;
    return reading;
  }

  std::filesystem::path folder_;
  TlsSettings files_;
  std::unique_ptr<HttpServer> server_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(TlsTest);

}  // namespace baobabrun
