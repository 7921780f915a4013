// Tests after the incident "broken answers reached callers": which bytes the
// caller of each kind of route gets when an endpoint sends an answer that
// RFC 9112 doesn't allow, or one that ends before its request was read.
// Callers, decisions and the client for endpoints are those of an entry; the
// sockets are on loopback with ports that the system assigns.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

#include <algorithm>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "callers/http_server.h"
#include "callers/raw_connection_test.h"
#include "endpoints/answer_forms_test.h"
#include "endpoints/scripted_endpoint_test.h"
#include "gateway/gateway_loop.h"

namespace baobabrun {
namespace {

using End = ScriptedAnswer::End;

constexpr std::size_t kNoBody = 0;
constexpr std::size_t kShortBody = 10;
constexpr std::size_t kMediumBody = 100'000;
constexpr std::size_t kLongBody = 3'000'000;
constexpr std::string_view kService = "service";
constexpr std::string_view kHost = "h";
// The endpoint's own header in all answers; others aren't attributed to it.
constexpr std::string_view kOwnField = "Signed: yes\r\n";
constexpr std::string_view kEventType = "Content-Type: text/event-stream\r\n";

struct TestRoute {
  RouteKind kind;
  std::string prefix;
};
const TestRoute kRoutes[] = {
    {RouteKind::kSafe, "/safe/"},
    {RouteKind::kUnsafe, "/unsafe/"},
    {RouteKind::kStream, "/stream/"},
};
// Calls of these routes may be sent to two endpoints.
constexpr std::string_view kRetried = "/retried";

Manifest TestManifest() {
  Manifest manifest;
  manifest.number = 1;
  ManifestService service;
  service.service = kService;
  service.max_connections = 100;
  manifest.services = {service};
  for (const auto& it : kRoutes) {
    ManifestRoute route;
    route.route = RouteId(it.prefix);
    route.host = kHost;
    route.path_prefix = it.prefix;
    route.max_attempts = 1;
    route.kind = it.kind;
    route.timeout = seconds(20);
    route.target_latency = seconds(10);
    route.target_event_gap = seconds(10);
    route.shares = {{std::string(kService), 1}};
    route.open = true;
    manifest.routes.push_back(route);
    route.route = RouteId(std::string(kRetried) + it.prefix);
    route.path_prefix = route.route.value();
    route.max_attempts = 2;
    manifest.routes.push_back(route);
  }
  return manifest;
}

ParsedCall ReadCall(const HttpRequest& request) {
  auto call = std::make_shared<GatewayCall>();
  call->method = request.method;
  call->target = request.path;
  call->path = request.path;
  call->host = kHost;
  call->body = std::make_shared<const std::string>(request.body);
  return {std::move(call), {}};
}

AnswerHead ReadAnswer(const EndpointAttempt& /*send*/,
                      int /*status*/,
                      const std::vector<Header>& headers) {
  AnswerHead head;
  head.owner = AnswerHead::Owner::kThisCall;
  head.signed_by_endpoint =
      std::any_of(headers.begin(), headers.end(),
                  [](const auto& it) { return it.name == "signed"; });
  return head;
}

Dialect TestDialect() {
  Dialect dialect;
  dialect.read_manifest = [](std::string_view) {
    return Result<Manifest>(TestManifest());
  };
  dialect.read_call = &ReadCall;
  dialect.write_refusal = [](HttpExchange& exchange, const Refusal& refusal) {
    exchange.Respond(refusal.not_run ? 503 : 502, {}, "refused");
  };
  dialect.write_headers = [](const EndpointAttempt&) {
    return std::vector<Header>();
  };
  dialect.read_answer = &ReadAnswer;
  return dialect;
}

// What a caller received.
struct CallerAnswer {
  std::string bytes;

  bool HasStatus(std::string_view status) const {
    return bytes.starts_with("HTTP/1.1 " + std::string(status) + " ");
  }
  std::string head() const {
    return bytes.substr(0, bytes.find("\r\n\r\n") + 4);
  }
  std::string body() const { return bytes.substr(head().size()); }
  bool chunked() const {
    return head().find("Transfer-Encoding: chunked\r\n") != std::string::npos;
  }
  // Whether the answer's own framing says that it has arrived in full.
  bool whole() const {
    if (chunked()) {
      return body().ends_with("0\r\n\r\n");
    }
    constexpr std::string_view kLength = "Content-Length: ";
    const auto at = head().find(kLength);
    return at != std::string::npos &&
           std::stoul(head().substr(at + kLength.size())) == body().size();
  }
  // The body without its chunks' sizes.
  std::string payload() const {
    if (!chunked()) {
      return body();
    }
    const auto text = body();
    std::string payload;
    for (std::size_t at = 0; at < text.size();) {
      const auto size = std::stoul(text.substr(at, 16), nullptr, 16);
      at = text.find("\r\n", at) + 2;
      payload += text.substr(at, size);
      at += size + 2;
    }
    return payload;
  }
};

// An entry whose service has one endpoint for each of `endpoints`. Each call is
// made at an entry of its own, since an entry avoids endpoints that have
// failed.
class Entry {
 public:
  explicit Entry(const std::vector<Address>& endpoints) {
    GatewayLoopOptions options;
    options.entry = true;
    options.gateway.retries = {1, seconds(10), 100};
    for (const auto& it : endpoints) {
      EndpointRecord record;
      record.endpoint = EndpointId(fmt::format("e{}", it.port));
      record.service = kService;
      record.address = it;
      record.incarnation = Incarnation(1);
      record.sequence = 1;
      options.stored_endpoints.push_back(record);
    }
    GatewayLoopHooks hooks;
    hooks.send = [](const PeerMessage&) { return true; };
    auto loop =
        GatewayLoop::Start(std::move(options), TestDialect(), std::move(hooks));
    CPPUNIT_ASSERT(loop.ok());
    loop_ = std::move(loop.value());
    auto state = std::make_shared<FleetState>();
    state->version = StateVersion(1);
    state->manifest.number = 1;
    state->manifest.text = std::make_shared<const std::string>("1");
    loop_->SetState(std::move(state));
    HttpServerOptions server_options;
    server_options.listen = {"127.0.0.1", 0};
    server_options.name = "test";
    server_options.threads = 1;
    auto server = HttpServer::Start(
        server_options,
        [this](const HttpExchangePtr& exchange) {
          auto call = ReadCall(exchange->request()).call;
          call->id = RequestId(1);
          call->arrived = SystemClock().Now();
          loop_->Push(CallEvent{std::move(call), exchange});
        },
        [](HttpExchange&) {});
    CPPUNIT_ASSERT(server.ok());
    server_ = std::move(server.value());
  }
  ~Entry() {
    server_.reset();
    loop_.reset();
  }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  CallerAnswer Call(const std::string& path, std::size_t body) const {
    RawConnection caller(server_->address());
    caller.Send(
        fmt::format("POST {}x HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    path, kHost, body, std::string(body, 'u')));
    return {caller.ReadAll()};
  }

 private:
  std::unique_ptr<GatewayLoop> loop_;
  std::unique_ptr<HttpServer> server_;
};

// Returns `text` on one line, shortened.
std::string Shown(std::string_view text) {
  constexpr std::size_t kLongest = 160;
  std::string shown;
  for (const unsigned char it : text.substr(0, kLongest)) {
    if (it == '\r' || it == '\n') {
      shown += it == '\r' ? "\\r" : "\\n";
    } else if (it < ' ' || it > '~') {
      shown += fmt::format("\\x{:02x}", it);
    } else {
      shown += static_cast<char>(it);
    }
  }
  return shown;
}

std::string Name(const TestRoute& route,
                 std::size_t body,
                 std::string_view answer) {
  return fmt::format("{} with a body of {} bytes, answered with '{}'",
                     route.prefix, body, Shown(answer));
}

std::string TextOf(const AnswerForm& form, const TestRoute& route) {
  return form.TextWith(
      std::string(kOwnField) +
      std::string(route.kind == RouteKind::kStream ? kEventType : ""));
}

// Collects the calls whose callers got something else than they should.
class Faults {
 public:
  // `answer` must hold nothing that its caller could take for a success.
  void CheckNoAnswer(const std::string& name, const CallerAnswer& answer) {
    Check(name, answer,
          answer.HasStatus("502") ||
              (answer.HasStatus("200") && !answer.whole()));
  }
  void CheckWhole(const std::string& name,
                  const CallerAnswer& answer,
                  std::string_view status,
                  std::string_view payload) {
    Check(name, answer,
          answer.HasStatus(status) && answer.whole() &&
              answer.payload() == payload);
  }
  void AssertNone() const {
    std::string text = fmt::format("{} of {} calls", list_.size(), calls_);
    for (const auto& it : list_) {
      text += "\n" + it;
    }
    CPPUNIT_ASSERT_MESSAGE(text, list_.empty());
  }

 private:
  void Check(const std::string& name, const CallerAnswer& answer, bool good) {
    ++calls_;
    if (!good) {
      list_.push_back(fmt::format("{}: the caller got '{}' of {} bytes", name,
                                  Shown(answer.bytes), answer.bytes.size()));
    }
  }

  int calls_ = 0;
  std::vector<std::string> list_;
};

}  // namespace

class BrokenAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenAnswerTest);
  CPPUNIT_TEST(InvalidStatusLineReachesNoCaller);
  CPPUNIT_TEST(InvalidHeaderFieldReachesNoCaller);
  CPPUNIT_TEST(InvalidTrailerReachesNoCaller);
  CPPUNIT_TEST(InvalidChunksReachNoCaller);
  CPPUNIT_TEST(ChunksOfAnOldVersionReachNoCaller);
  CPPUNIT_TEST(SoundAnswersAreServed);
  CPPUNIT_TEST(AnswerThatEndsBeforeItsRequestWasReadIsNotWhole);
  CPPUNIT_TEST(AnswerResetBeforeItsRequestWasReadIsNotWhole);
  CPPUNIT_TEST(AnswerThatEndsWhileASmallerUploadIsWrittenIsNotWhole);
  CPPUNIT_TEST(AnswerThatEndsAfterItsRequestWasReadIsWhole);
  CPPUNIT_TEST(AnswerThatEndsAfterItsRequestArrivedIsWhole);
  CPPUNIT_TEST(EarlyRefusalOfALongUploadIsServed);
  CPPUNIT_TEST(OnlySafeCallsAreSentAgainAfterABrokenAnswer);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvalidStatusLineReachesNoCaller() {
    AssertNoneServed(InvalidStatusLines());
  }
  void InvalidHeaderFieldReachesNoCaller() {
    AssertNoneServed(InvalidFields());
  }
  void InvalidTrailerReachesNoCaller() { AssertNoneServed(InvalidTrailers()); }
  void InvalidChunksReachNoCaller() { AssertNoneServed(InvalidChunks()); }
  void ChunksOfAnOldVersionReachNoCaller() {
    AssertNoneServed({ChunksOfOldVersion()});
  }

  void SoundAnswersAreServed() {
    Faults faults;
    for (const auto& form : SoundAnswers()) {
      for (const auto& route : kRoutes) {
        for (const auto body : {kNoBody, kShortBody, kLongBody}) {
          ScriptedAnswer answer{TextOf(form, route)};
          answer.end = form.ends_with_connection ? End::kClose : End::kHold;
          constexpr std::size_t kStatusAt = 9;
          faults.CheckWhole(
              Name(route, body, answer.bytes), Call(route, body, answer),
              form.status_line.substr(kStatusAt, 3), form.payload);
        }
      }
    }
    faults.AssertNone();
  }

  void AnswerThatEndsBeforeItsRequestWasReadIsNotWhole() {
    Faults faults;
    for (const int delay : {0, 1, 5, 50, 300}) {
      CheckUnreadUploads(kLongBody, End::kHalfCloseThenReset,
                         milliseconds(delay), &faults);
    }
    faults.AssertNone();
  }

  void AnswerResetBeforeItsRequestWasReadIsNotWhole() {
    Faults faults;
    for (const auto end : {End::kReset, End::kClose}) {
      constexpr int kRounds = 5;
      for (int n = 0; n < kRounds; ++n) {
        for (const auto body : {kShortBody, kLongBody}) {
          CheckUnreadUploads(body, end, milliseconds(0), &faults);
        }
      }
      for (const auto body :
           {std::size_t{1'000}, std::size_t{30'000}, kMediumBody}) {
        CheckUnreadUploads(body, end, milliseconds(0), &faults);
      }
    }
    faults.AssertNone();
  }

  // It isn't the size of an upload that counts, but whether the endpoint's
  // system has taken all of it.
  void AnswerThatEndsWhileASmallerUploadIsWrittenIsNotWhole() {
    constexpr int kSmallBuffer = 4'096;
    Faults faults;
    for (const std::size_t body : {std::size_t{30'000}, kMediumBody}) {
      for (const int delay : {0, 5, 50}) {
        CheckUnreadUploads(body, End::kHalfCloseThenReset, milliseconds(delay),
                           &faults, kSmallBuffer);
      }
    }
    faults.AssertNone();
  }

  // The answer's end arrived, and nothing of the request was under way: what
  // becomes of the connection later doesn't concern the answer.
  void AnswerThatEndsAfterItsRequestArrivedIsWhole() {
    Faults faults;
    for (const std::size_t body : {kShortBody, std::size_t{1'000}}) {
      for (const auto& part : Parts()) {
        for (const auto& route : kRoutes) {
          auto answer = UnframedAnswer("200", part, route);
          answer.reads = body - 1;
          answer.end = End::kHalfCloseThenReset;
          answer.reset_after = ScriptedAnswer::kAfterTheCall;
          faults.CheckWhole(Name(route, body, answer.bytes),
                            Call(route, body, answer), "200", part);
        }
      }
    }
    faults.AssertNone();
  }

  void AnswerThatEndsAfterItsRequestWasReadIsWhole() {
    Faults faults;
    for (const auto& part : Parts()) {
      for (const auto& route : kRoutes) {
        for (const auto body : {kNoBody, kShortBody, kLongBody}) {
          const auto answer = UnframedAnswer("200", part, route);
          faults.CheckWhole(Name(route, body, answer.bytes),
                            Call(route, body, answer), "200", part);
        }
      }
    }
    faults.AssertNone();
  }

  void EarlyRefusalOfALongUploadIsServed() {
    Faults faults;
    for (const std::string status : {"400", "403", "413", "500"}) {
      for (const bool has_length : {true, false}) {
        for (const auto& route : kRoutes) {
          auto answer = UnframedAnswer(status, "no", route);
          if (has_length) {
            answer.bytes.insert(answer.bytes.find(kOwnField), LengthField(2));
          }
          answer.reads = 0;
          answer.end = End::kHalfCloseThenReset;
          answer.reset_after = milliseconds(50);
          faults.CheckWhole(Name(route, kLongBody, answer.bytes),
                            Call(route, kLongBody, answer), status, "no");
        }
      }
    }
    faults.AssertNone();
  }

  void OnlySafeCallsAreSentAgainAfterABrokenAnswer() {
    auto unread = UnframedAnswer("200", kFormPayload, kRoutes[0]);
    unread.reads = 0;
    unread.end = End::kHalfCloseThenReset;
    unread.reset_after = milliseconds(50);
    const auto head = fmt::format("{}{}", kOwnField, LengthField(2));
    const ScriptedAnswer broken[] = {
        unread,
        {"HTTP/1.1 000 OK\r\n" + head + "\r\nab"},
        {"HTTP/1.1 200x OK\r\n" + head + "\r\nab"},
        {"HTTP/1.1 200 OK\r\n" + head + "X A: b\r\n\r\nab"},
    };
    for (const auto& it : broken) {
      for (const auto& route : kRoutes) {
        ScriptedEndpoint first({it});
        ScriptedEndpoint second({it});
        const Entry entry({first.address(), second.address()});
        const auto name = Name(route, kLongBody, it.bytes);
        Faults faults;
        faults.CheckNoAnswer(
            name, entry.Call(std::string(kRetried) + route.prefix, kLongBody));
        faults.AssertNone();
        const int sent = route.kind == RouteKind::kSafe ? 2 : 1;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, sent,
                                     first.accepted() + second.accepted());
      }
    }
  }

 private:
  static CallerAnswer Call(const TestRoute& route,
                           std::size_t body,
                           const ScriptedAnswer& answer) {
    ScriptedEndpoint endpoint({answer});
    return Entry({endpoint.address()}).Call(route.prefix, body);
  }

  static void AssertNoneServed(const std::vector<AnswerForm>& forms) {
    Faults faults;
    for (const auto& form : forms) {
      for (const auto& route : kRoutes) {
        for (const auto body : {kShortBody, kLongBody}) {
          const ScriptedAnswer answer{TextOf(form, route)};
          faults.CheckNoAnswer(Name(route, body, answer.bytes),
                               Call(route, body, answer));
        }
      }
    }
    faults.AssertNone();
  }

  // Parts of an answer's body that end between events.
  static std::vector<std::string> Parts() {
    constexpr std::size_t kLonger = 1'400'000;
    std::string longer;
    while (longer.size() < kLonger) {
      longer += fmt::format("id: {}\ndata: {}\n\n", longer.size() + 1,
                            std::string(1'000, 'd'));
    }
    return {"data: part\n\n", "id: 1\ndata: " + std::string(50, 'p') + "\n\n",
            longer};
  }

  // An answer that ends with its connection.
  static ScriptedAnswer UnframedAnswer(std::string_view status,
                                       std::string_view body,
                                       const TestRoute& route) {
    return {fmt::format(
        "HTTP/1.1 {} X\r\n{}{}\r\n{}", status, kOwnField,
        route.kind == RouteKind::kStream ? kEventType : std::string_view(),
        body)};
  }

  // Calls with an upload of which the endpoint reads only the begin.
  static void CheckUnreadUploads(std::size_t body,
                                 End end,
                                 milliseconds reset_after,
                                 Faults* faults,
                                 int receive_buffer = 0) {
    for (const auto& part : Parts()) {
      for (const std::size_t reads : {0, 1, 100'000, 900'000}) {
        for (const auto& route : kRoutes) {
          if (reads >= body) {
            continue;
          }
          auto answer = UnframedAnswer("200", part, route);
          answer.reads = reads;
          answer.end = end;
          answer.reset_after = reset_after;
          answer.receive_buffer = receive_buffer;
          faults->CheckNoAnswer(
              fmt::format("{} after {} bytes of it, reset after {} ms",
                          Name(route, body, answer.bytes), reads,
                          reset_after.count()),
              Call(route, body, answer));
        }
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswerTest);

}  // namespace baobabrun
