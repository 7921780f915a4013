// Tests that a request has one framing, or is refused with 400 and its
// connection closed before the handler sees any of it. Each malformed request
// is followed by bytes that another reader would take for a request of their
// own.
#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <string>
#include <vector>

#include "callers/http_server.h"
#include "callers/raw_connection_test.h"

namespace baobabrun {
namespace {

struct Row {
  const char* name;
  std::string text;
  const char* answer = "HTTP/1.1 400";
};

constexpr const char* kTooLarge = "HTTP/1.1 413";
const std::string kPost = "POST /outer HTTP/1.1\r\nHost: h\r\n";
const std::string kHidden = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n";

// A request with `headers`, each with its line end, whose body is `body`.
std::string Post(const std::string& headers, const std::string& body) {
  return kPost + headers + "\r\n" + body + kHidden;
}

std::string Chunked(const std::string& body) {
  return Post("Transfer-Encoding: chunked\r\n", body);
}

std::string WithHeader(const std::string& line) {
  return "GET /outer HTTP/1.1\r\nHost: h\r\n" + line + "\r\n" + kHidden;
}

std::vector<Row> LengthsAndCodings() {
  const std::string chunk = "9\r\ntwo seats\r\n0\r\n\r\n";
  const std::string te = "Transfer-Encoding: ";
  const std::string cl = "Content-Length: ";
  return {
      {"two lengths that differ", Post(cl + "9\r\n" + cl + "45\r\n", "")},
      {"two lengths that agree", Post(cl + "0\r\n" + cl + "0\r\n", "")},
      {"list of lengths that differ", Post(cl + "9, 45\r\n", "two seats")},
      {"list of lengths that agree", Post(cl + "9, 9\r\n", "two seats")},
      {"length with a plus", Post(cl + "+9\r\n", "two seats")},
      {"length below zero", Post(cl + "-9\r\n", "two seats")},
      {"length of another base", Post(cl + "0x9\r\n", "two seats")},
      {"length with letters", Post(cl + "9a\r\n", "two seats")},
      {"length with a blank inside", Post(cl + "1 0\r\n", "two seats")},
      {"length with a fraction", Post(cl + "9.0\r\n", "two seats")},
      {"empty length", Post(cl + "\r\n", "two seats")},
      {"length of many digits", Post(cl + "99999999999999999999999\r\n", ""),
       kTooLarge},
      {"length and chunks", Post(cl + "9\r\n" + te + "chunked\r\n", chunk)},
      {"chunks and length", Post(te + "chunked\r\n" + cl + "9\r\n", chunk)},
      {"length and another coding", Post(cl + "9\r\n" + te + "x\r\n", chunk)},
      {"blank before the colon of a coding",
       Post(cl + "9\r\nTransfer-Encoding : chunked\r\n", chunk)},
      {"tab before the colon of a coding",
       Post(cl + "9\r\nTransfer-Encoding\t: chunked\r\n", chunk)},
      {"blank before the colon of a length",
       Post("Content-Length : 9\r\n", "two seats")},
      {"unknown coding", Post(te + "gzip\r\n", chunk)},
      {"coding before chunked", Post(te + "gzip, chunked\r\n", chunk)},
      {"coding after chunked", Post(te + "chunked, gzip\r\n", chunk)},
      {"chunked twice", Post(te + "chunked, chunked\r\n", chunk)},
      {"two headers of codings",
       Post(te + "chunked\r\n" + te + "chunked\r\n", chunk)},
      {"identity", Post(te + "identity\r\n", "")},
      {"chunked with a parameter", Post(te + "chunked;q=1\r\n", chunk)},
      {"chunked with a letter more", Post(te + "xchunked\r\n", chunk)},
      {"chunked in quotes", Post(te + "\"chunked\"\r\n", chunk)},
      {"empty coding", Post(te + "\r\n", "")},
      {"chunked with a control byte", Post(te + "\x0b"
                                                "chunked\r\n",
                                           chunk)},
      {"chunks in HTTP/1.0", "POST /outer HTTP/1.0\r\nHost: h\r\n" + te +
                                 "chunked\r\n\r\n" + chunk + kHidden},
  };
}

std::vector<Row> Chunks() {
  return {
      {"size with a blank", Chunked("9 \r\ntwo seats\r\n0\r\n\r\n")},
      {"size with junk", Chunked("9x\r\ntwo seats\r\n0\r\n\r\n")},
      {"size with a prefix", Chunked("0x9\r\ntwo seats\r\n0\r\n\r\n")},
      {"size with a sign", Chunked("+9\r\ntwo seats\r\n0\r\n\r\n")},
      {"size below zero", Chunked("-1\r\ntwo seats\r\n0\r\n\r\n")},
      {"empty size", Chunked("\r\ntwo seats\r\n0\r\n\r\n")},
      {"size of many digits",
       Chunked("10000000000000009\r\ntwo seats\r\n0\r\n\r\n"), kTooLarge},
      {"size that ends with CR", Chunked("9\rtwo seats\r\n0\r\n\r\n")},
      {"chunk without its end", Chunked("9\r\ntwo seatsxx\r\n0\r\n\r\n")},
      {"chunk that ends with CR", Chunked("9\r\ntwo seats\r0\r\n\r\n")},
      {"extension with LF", Chunked("9;a\n\r\ntwo seats\r\n0\r\n\r\n")},
      {"trailer without a colon", Chunked("0\r\nX-A\r\n\r\n")},
  };
}

std::vector<Row> Lines() {
  using std::string_literals::operator""s;
  return {
      {"blank before the first header",
       "GET /outer HTTP/1.1\r\n Host: h\r\n\r\n" + kHidden},
      {"CR in a value", WithHeader("X-A: b\rc\r\n")},
      {"coding after a CR",
       Post("X-A: b\rTransfer-Encoding: chunked\r\n", "0\r\n\r\n")},
      {"NUL in a name", WithHeader("X-A\0b: c\r\n"s)},
      {"control byte in a value", WithHeader("X-A: b\x01"
                                             "c\r\n")},
      {"control byte in a name", WithHeader("X-A\x01: b\r\n")},
      {"blank in a name", WithHeader("X A: b\r\n")},
      {"blank before a colon", WithHeader("X-A : b\r\n")},
      {"name with a bracket", WithHeader("X(A: b\r\n")},
      {"no colon", WithHeader("X-A\r\n")},
      {"two hosts", WithHeader("Host: other\r\n")},
      {"no host", "GET /outer HTTP/1.1\r\n\r\n" + kHidden},
      {"request line with a tab",
       "GET\t/outer HTTP/1.1\r\nHost: h\r\n\r\n" + kHidden},
      {"blank after the version",
       "GET /outer HTTP/1.1 \r\nHost: h\r\n\r\n" + kHidden},
      {"no version", "GET /outer\r\nHost: h\r\n\r\n" + kHidden},
      {"unknown version", "GET /outer HTTP/3.1\r\nHost: h\r\n\r\n" + kHidden,
       "HTTP/1.1 505"},
      {"version in lower case",
       "GET /outer http/1.1\r\nHost: h\r\n\r\n" + kHidden},
      {"version with digits more",
       "GET /outer HTTP/1.10\r\nHost: h\r\n\r\n" + kHidden},
  };
}

std::vector<Row> LineFeeds() {
  return {
      {"size that ends with LF", Chunked("9\ntwo seats\r\n0\r\n\r\n")},
      {"chunk that ends with LF", Chunked("9\r\ntwo seats\n0\r\n\r\n")},
      {"last chunk that ends with LF", Chunked("9\r\ntwo seats\r\n0\n\n")},
      {"LF alone in a whole body", Chunked("9\ntwo seats\n0\n\n")},
      {"LF after the request line",
       "GET /outer HTTP/1.1\nHost: h\r\n\r\n" + kHidden},
      {"LF after a header", WithHeader("X-A: b\n")},
      {"LF after the head", "GET /outer HTTP/1.1\r\nHost: h\r\n\n" + kHidden},
      {"LF alone everywhere", "GET /outer HTTP/1.1\nHost: h\n\n" + kHidden},
      {"length after a LF in a value",
       Post("X-A: b\nContent-Length: 9\r\n", "two seats")},
  };
}

std::vector<Row> FoldedLines() {
  return {
      {"folded trailer", Chunked("0\r\nX-A: b\r\n c\r\n\r\n")},
      {"folded header", WithHeader("X-A: b\r\n c\r\n")},
      {"folded header with a tab", WithHeader("X-A: b\r\n\tc\r\n")},
      {"folded coding",
       Post("Transfer-Encoding:\r\n chunked\r\n", "0\r\n\r\n")},
  };
}

std::vector<Row> OtherLines() {
  using std::string_literals::operator""s;
  return {
      {"extension with CR", Chunked("9;a\rb\r\ntwo seats\r\n0\r\n\r\n")},
      {"length in a trailer", Chunked("0\r\nContent-Length: 45\r\n\r\n")},
      {"NUL in a value", WithHeader("X-A: b\0c\r\n"s)},
      {"no name", WithHeader(": b\r\n")},
      {"request line with two blanks",
       "GET  /outer HTTP/1.1\r\nHost: h\r\n\r\n" + kHidden},
      {"blank before the method",
       " GET /outer HTTP/1.1\r\nHost: h\r\n\r\n" + kHidden},
      {"blank in the target",
       "GET /outer x HTTP/1.1\r\nHost: h\r\n\r\n" + kHidden},
  };
}

std::vector<Row> SoundRequests() {
  return {
      {"no body", WithHeader("")},
      {"length", Post("Content-Length: 9\r\n", "two seats")},
      {"length zero", Post("Content-Length: 0\r\n", "")},
      {"no blank after a colon", Post("Content-Length:9\r\n", "two seats")},
      {"chunks", Chunked("3\r\ntwo\r\n6\r\n seats\r\n0\r\n\r\n")},
      {"chunk sizes with zeros", Chunked("0009\r\ntwo seats\r\n000\r\n\r\n")},
      {"chunk with an extension", Chunked("9;a=b\r\ntwo seats\r\n0\r\n\r\n")},
      {"trailer", Chunked("0\r\nX-A: b\r\n\r\n")},
      {"chunked in capitals",
       Post("TRANSFER-ENCODING: Chunked\r\n", "0\r\n\r\n")},
      {"empty value", WithHeader("X-A:\r\n")},
      {"byte above 127 in a value", WithHeader("X-A: \xc3\xa9\r\n")},
      {"quotes and colons in a value", WithHeader("X-A: \"b: c\"\r\n")},
      {"two headers of one name", WithHeader("X-A: b\r\nX-A: c\r\n")},
      {"HTTP/1.0 with a length",
       "POST /outer HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n"
       "Content-Length: 9\r\n\r\ntwo seats" +
           kHidden},
      {"empty line before the request", "\r\n" + WithHeader("")},
  };
}

}  // namespace

class RequestFramingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestFramingTest);
  CPPUNIT_TEST(AmbiguousLengthsAndCodingsAreRefused);
  CPPUNIT_TEST(MalformedChunksAreRefused);
  CPPUNIT_TEST(MalformedLinesAreRefused);
  CPPUNIT_TEST(RequestsInPiecesAreCheckedAlike);
  CPPUNIT_TEST(SoundRequestsAreHandled);
  CPPUNIT_TEST(LinesThatEndWithLfAreRefused);
  CPPUNIT_TEST(FoldedLinesAreRefused);
  CPPUNIT_TEST(OtherMalformedLinesAreRefused);
  CPPUNIT_TEST(RefusalsHaveOneHead);
  CPPUNIT_TEST(BlanksAfterALengthAreAllowed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.name = "test";
    options.threads = 1;
    auto server = HttpServer::Start(
        options,
        [this](const HttpExchangePtr& it) {
          {
            const std::lock_guard lock(mutex_);
            handled_.push_back(it->request().path);
          }
          it->Respond(200, {}, "ok");
        },
        [](HttpExchange& it) { it.Respond(413, {}, ""); });
    CPPUNIT_ASSERT(server.ok());
    server_ = std::move(server.value());
  }
  void tearDown() override { server_.reset(); }

  void AmbiguousLengthsAndCodingsAreRefused() {
    AssertRefused(LengthsAndCodings());
  }
  void MalformedChunksAreRefused() { AssertRefused(Chunks()); }
  void MalformedLinesAreRefused() { AssertRefused(Lines()); }

  void RequestsInPiecesAreCheckedAlike() {
    std::vector<Row> rows;
    for (const auto& group : {LengthsAndCodings(), Chunks(), Lines()}) {
      rows.insert(rows.end(), group.begin(), group.end());
    }
    AssertRefused(rows, true);
  }

  void SoundRequestsAreHandled() { AssertHandled(SoundRequests()); }

  void LinesThatEndWithLfAreRefused() { AssertRefused(LineFeeds()); }
  void FoldedLinesAreRefused() { AssertRefused(FoldedLines()); }
  void OtherMalformedLinesAreRefused() { AssertRefused(OtherLines()); }

  void RefusalsHaveOneHead() {
    std::string failures;
    for (const auto& group : {LengthsAndCodings(), Chunks(), Lines()}) {
      for (const auto& it : group) {
        std::string answer;
        Send(it, false, &answer);
        if (answer.find("HTTP/1.1 ", 1) != std::string::npos) {
          failures += std::string("\n  ") + it.name;
        }
      }
    }
    CPPUNIT_ASSERT_MESSAGE("more than one head:" + failures, failures.empty());
  }

  void BlanksAfterALengthAreAllowed() {
    AssertHandled({{"blanks around a length",
                    Post("Content-Length: \t 9 \r\n", "two seats")}});
  }

 private:
  // Returns the paths of the requests that were handled.
  std::vector<std::string> Send(const Row& row,
                                bool split,
                                std::string* answer) {
    {
      const std::lock_guard lock(mutex_);
      handled_.clear();
    }
    RawConnection connection(server_->address());
    if (split) {
      for (const char it : row.text) {
        connection.Send({&it, 1});
      }
    } else {
      connection.Send(row.text);
    }
    const auto all = connection.ReadAllFor(kAnswerTime);
    closed_ = connection.ended();
    if (answer != nullptr) {
      *answer = all;
    }
    const std::lock_guard lock(mutex_);
    return handled_;
  }

  void AssertHandled(const std::vector<Row>& rows) {
    std::string failures;
    for (const auto& it : rows) {
      const auto handled = Send(it, false, nullptr);
      if (handled != std::vector<std::string>{"/outer", "/hidden"}) {
        failures += std::string("\n  ") + it.name;
      }
    }
    CPPUNIT_ASSERT_MESSAGE("not handled:" + failures, failures.empty());
  }

  // The answer is a refusal, the connection is closed, and nothing is handled.
  void AssertRefused(const std::vector<Row>& rows, bool split = false) {
    std::string failures;
    for (const auto& it : rows) {
      std::string answer;
      const auto handled = Send(it, split, &answer);
      if (!handled.empty() || !answer.starts_with(it.answer) || !closed_) {
        failures += std::string("\n  ") + it.name + ": " +
                    answer.substr(0, answer.find("\r\n"));
        for (const auto& path : handled) {
          failures += ", handled " + path;
        }
      }
    }
    CPPUNIT_ASSERT_MESSAGE("not refused:" + failures, failures.empty());
  }

  static constexpr milliseconds kAnswerTime{300};

  bool closed_ = false;  // by the server, after the last request sent
  std::mutex mutex_;
  std::vector<std::string> handled_;
  std::unique_ptr<HttpServer> server_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestFramingTest);

}  // namespace baobabrun
